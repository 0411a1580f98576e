package org.dunespindle.machine;

import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.worker.WorkerClient;

/** Acquires other controllers' machines for gangs on the leader, since only the leader places gangs. */
final class GangMachineAcquirer {
    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final MachineRecordWriter machineWriter;
    private final PeerHeartbeats peerHeartbeats;
    private final GangPresence gangPresence;
    private final Supplier<Options> options;

    GangMachineAcquirer(
            ControllerContext context,
            WorkerClient workerClient,
            MachineRecordWriter machineWriter,
            PeerHeartbeats peerHeartbeats,
            GangPresence gangPresence,
            Supplier<Options> options) {
        this.context = context;
        this.workerClient = workerClient;
        this.machineWriter = machineWriter;
        this.peerHeartbeats = peerHeartbeats;
        this.gangPresence = gangPresence;
        this.options = options;
    }

    /** Acquires the machines of other controllers that gangs need, up to the configured limit of acquired machines. */
    void acquireFor(Plan plan) {
        Optional<Long> acquired = Optional.empty();
        for (String machineId : machinesForGangs(plan)) {
            MachineRecord machine = context.replica().machines().get(machineId);
            if (machine == null || !isAcquirable(machine)) {
                continue;
            }
            // Counted lazily, since it iterates over all machines.
            long acquiredBefore = acquired.orElseGet(this::countAcquiredMachines);
            if (acquiredBefore >= options.get().maxBorrowedMachines()) {
                return;
            }
            acquired = Optional.of(acquiredBefore + 1);
            gangPresence.recordGang(machineId, context.timeSource().now());
            String address = peerHeartbeats.address(machine).orElse(machine.address());
            workerClient.acquire(machine, address, Instant.EPOCH, result -> {});
        }
    }

    /**
     * The machines that gangs are planned on, then those that hold placeholders. A machine with a placeholder may belong to a former
     * leader that lost the leadership but is still alive. It keeps the machine while a gang is on it, and the current leader cannot
     * observe there that all placeholders are ready. Unless the leader acquires the machine, the gang waits for its timeout although
     * all its placeholders are placed.
     */
    private Set<String> machinesForGangs(Plan plan) {
        var machineIds = new LinkedHashSet<>(plan.gangMachines());
        machineIds.addAll(gangPresence.machinesWithPlaceholders());
        return machineIds;
    }

    private boolean isAcquirable(MachineRecord machine) {
        return !context.membership().owns(machine)
                && !machine.draining()
                && !machineWriter.hasPendingChange(machine.id())
                && machine.keepUntil().isBefore(context.timeSource().wallTime());
    }

    private long countAcquiredMachines() {
        Membership membership = context.membership();
        String nodeName = context.settings().nodeName();
        return context.replica().machines().values().stream()
                .filter(membership::owns)
                .filter(machine -> membership
                        .controllerOfMachine(machine.id())
                        .filter(nodeName::equals)
                        .isEmpty())
                .count();
    }
}
