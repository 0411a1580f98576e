package org.dunespindle.machine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.worker.WorkerClient;

/**
 * Failover of machines whose controller has failed. All machines of a page of records fail over to the same controller, or to the leader
 * if a gang is on one of them, because concurrent writes of one page by two controllers conflict.
 */
final class ShardFailover {
    private static final Duration MAX_DEFERRAL_TO_PEERS = Duration.ofSeconds(4);
    /** The deferral is at most this part of a lease, since workers need a new controller before their leases expire. */
    private static final int DEFERRAL_LEASE_DIVISOR = 4;

    private final ControllerContext context;
    private final String nodeName;
    private final WorkerClient workerClient;
    private final MachineRecordWriter machineWriter;
    private final PeerHeartbeats peerHeartbeats;
    private final GangPresence gangPresence;
    /** All controllers in this cell's settings, alive or not. */
    private final Set<String> configuredControllers = new TreeSet<>();

    private final Duration deferralToPeers;
    private Optional<Duration> firstCheckAt = Optional.empty();

    ShardFailover(
            ControllerContext context,
            WorkerClient workerClient,
            MachineRecordWriter machineWriter,
            PeerHeartbeats peerHeartbeats,
            GangPresence gangPresence) {
        this.context = context;
        this.nodeName = context.settings().nodeName();
        this.workerClient = workerClient;
        this.machineWriter = machineWriter;
        this.peerHeartbeats = peerHeartbeats;
        this.gangPresence = gangPresence;
        configuredControllers.add(nodeName);
        context.settings().seeds().forEach(seed -> configuredControllers.add(seed.name()));
        Duration leaseFraction = context.settings().workers().leaseDuration().dividedBy(DEFERRAL_LEASE_DIVISOR);
        this.deferralToPeers =
                leaseFraction.compareTo(MAX_DEFERRAL_TO_PEERS) < 0 ? leaseFraction : MAX_DEFERRAL_TO_PEERS;
    }

    /** Acquires the machines without a live owner that fail over to this controller. */
    void takeOverOrphans() {
        boolean deferring = defersToPeers();
        List<MachineRecord> orphans = orphansMostUrgentFirst();
        var pagesWithGangs = new HashSet<String>();
        orphans.stream()
                .filter(gangPresence::hasGang)
                .forEach(machine -> pagesWithGangs.add(Keys.machinePage(machine.id())));
        for (MachineRecord orphan : orphans) {
            if (!machineWriter.hasPendingChange(orphan.id())
                    && !(deferring && isAssignedToConfiguredPeer(orphan))
                    && failsOverToThisController(orphan, pagesWithGangs)) {
                acquire(orphan);
            }
        }
    }

    /** After a crash of all controllers, those that restart first briefly leave the other controllers' pages to them. */
    private boolean defersToPeers() {
        Duration now = context.timeSource().now();
        if (firstCheckAt.isEmpty()) {
            firstCheckAt = Optional.of(now);
        }
        return now.minus(firstCheckAt.get()).compareTo(deferralToPeers) < 0;
    }

    /** Machines without a live owner, those with allocations first: their workers' leases are about to expire, whereas idle machines can wait. */
    private List<MachineRecord> orphansMostUrgentFirst() {
        var orphans = new ArrayList<MachineRecord>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (!context.membership().isAlive(machine.owner(), machine.incarnation())) {
                orphans.add(machine);
            }
        }
        orphans.sort(Comparator.comparing(
                machine -> context.replica().allocationsOn(machine.id()).isEmpty()));
        return orphans;
    }

    private boolean isAssignedToConfiguredPeer(MachineRecord machine) {
        return !context.membership()
                .controllerOfMachineAmong(configuredControllers, machine.id())
                .equals(Optional.of(nodeName));
    }

    private boolean failsOverToThisController(MachineRecord machine, Set<String> pagesWithGangs) {
        Membership membership = context.membership();
        Optional<String> newOwner = pagesWithGangs.contains(Keys.machinePage(machine.id()))
                ? membership.leader()
                : membership.controllerOfMachine(machine.id());
        return newOwner.filter(nodeName::equals).isPresent();
    }

    private void acquire(MachineRecord machine) {
        // The record of a recently rented machine may lack its address, but its owner's heartbeats contain it.
        peerHeartbeats
                .address(machine)
                .ifPresentOrElse(
                        address -> workerClient.acquire(machine, address, Instant.EPOCH, result -> {}),
                        () -> workerClient.acquire(machine, Instant.EPOCH, result -> {}));
    }
}
