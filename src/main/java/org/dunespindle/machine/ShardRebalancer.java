package org.dunespindle.machine;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;

/** Rebalances shards: releases machines of this controller that the hash assigns to another live controller. */
final class ShardRebalancer {
    /**
     * Limits the pages released in one check. After a controller rejoins there are many, and rebalancing is less urgent than all other
     * writes.
     */
    private static final int MAX_PAGES_PER_CHECK = 6;

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final PeerHeartbeats peerHeartbeats;
    private final GangPresence gangPresence;
    private final Supplier<Options> options;
    private final Set<String> pagesReleased = new HashSet<>();

    ShardRebalancer(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            PeerHeartbeats peerHeartbeats,
            GangPresence gangPresence,
            Supplier<Options> options) {
        this.context = context;
        this.machineWriter = machineWriter;
        this.peerHeartbeats = peerHeartbeats;
        this.gangPresence = gangPresence;
        this.options = options;
    }

    /** Starts a new check, which resets the page limit. */
    void beginCheck() {
        pagesReleased.clear();
    }

    /** Stores the controller that the hash assigns a machine to as its owner, if that is another one and the machine is releasable. */
    void releaseToAssignedController(MachineRecord machine, Duration now) {
        Membership membership = context.membership();
        Optional<String> assigned = membership.controllerOfMachine(machine.id());
        if (assigned.isEmpty()
                || assigned.get().equals(context.settings().nodeName())
                || machineWriter.hasPendingChange(machine.id())
                || machineWriter.isBacklogged()) {
            return;
        }
        Optional<Long> assignedIncarnation = membership.incarnationOf(assigned.get());
        if (isReleasable(machine, now)
                && isWithinPageLimit(machine)
                && assignedIncarnation.isPresent()
                && peerHeartbeats.recentHeartbeat(assigned.get()).isPresent()) {
            pagesReleased.add(Keys.machinePage(machine.id()));
            machineWriter.write(
                    CommitPriority.MAINTENANCE,
                    machine.ownedBy(assigned.get(), assignedIncarnation.get(), Instant.EPOCH),
                    result -> {});
        }
    }

    /** Whether a machine's retention times have passed and no call to its worker is in progress. */
    private boolean isReleasable(MachineRecord machine, Duration now) {
        Duration idleTimeout =
                context.membership().isLeader() ? options.get().borrowedMachineIdleTimeout() : Duration.ZERO;
        Duration lastGangAt = gangPresence.lastGangAt(machine.id()).orElse(Duration.ZERO);
        Optional<WorkerState> workerState = context.workers().find(machine.id());
        return machine.keepUntil().isBefore(context.timeSource().wallTime())
                && now.minus(lastGangAt).compareTo(idleTimeout) > 0
                && workerState
                        .filter(worker -> worker.callInFlight()
                                || worker.unansweredStartToken().isPresent()
                                || !worker.terminations().isEmpty())
                        .isEmpty();
    }

    private boolean isWithinPageLimit(MachineRecord machine) {
        return pagesReleased.contains(Keys.machinePage(machine.id())) || pagesReleased.size() < MAX_PAGES_PER_CHECK;
    }
}
