package org.dunespindle.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Terminates machines, which returns them to the cloud. Only the cloud's confirmation proves that a machine and everything on it are
 * gone.
 */
public final class MachineTerminator {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTerminator.class);
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);
    private static final Duration TERMINATED_RETENTION = Duration.ofSeconds(300);
    /** The cloud accepts no longer list. */
    private static final int MAX_MACHINES_PER_REQUEST = 100;

    private final ControllerContext context;
    private final StateReplica replica;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final Map<String, Duration> terminatedAt = new HashMap<>();
    /** Machines to terminate whose records do not say so. */
    private final Set<String> terminatingWithoutDrain = new HashSet<>();

    private boolean requestInFlight;

    /** Creates a terminator of machines. */
    public MachineTerminator(ControllerContext context, MachineRecordWriter machineWriter, CloudClient cloud) {
        this.context = context;
        this.replica = context.replica();
        this.machineWriter = machineWriter;
        this.cloud = cloud;
    }

    /** Whether the cloud confirmed a machine's termination: its allocations can be released. */
    public boolean isTerminated(String machineId) {
        return terminatedAt.containsKey(machineId);
    }

    /** All machines whose termination the cloud confirmed lately. */
    public Set<String> terminatedMachines() {
        return terminatedAt.keySet();
    }

    /** Whether a machine is being terminated, though its record may not say so. */
    public boolean isTerminating(MachineRecord machine) {
        return machine.draining() || terminatingWithoutDrain.contains(machine.id()) || isTerminated(machine.id());
    }

    /**
     * Records that a machine is draining. It is terminated once no placement can come any more and, where the reason allows that, its
     * tasks have ended.
     */
    void drain(MachineRecord machine, DrainReason reason) {
        recordEvent(machine, reason);
        machineWriter.write(CommitPriority.MAINTENANCE, machine.draining(reason.text()), result -> {});
    }

    /**
     * Terminates a machine without recording that first, which halves the writes during a mass failure. This is safe for machines
     * that are not heard: nothing is placed on them, and should its owner hear one again at the last moment, what it places there ends
     * with the machine.
     */
    void terminateWithoutDrain(MachineRecord machine, DrainReason reason) {
        recordEvent(machine, reason);
        terminatingWithoutDrain.add(machine.id());
    }

    private void recordEvent(MachineRecord machine, DrainReason reason) {
        context.eventRecorder().record(LOG, "machine {} is given back: {}", machine.id(), reason.text());
    }

    /** Drops decisions that were not carried out: those of an earlier leader are no longer valid. */
    void standDown() {
        terminatingWithoutDrain.clear();
    }

    /** A machine's record is removed. */
    void forget(String machineId) {
        terminatingWithoutDrain.remove(machineId);
    }

    /** Forgets terminated machines whose records were removed long ago. */
    void prune() {
        Duration now = context.timeSource().now();
        terminatedAt
                .entrySet()
                .removeIf(entry -> now.minus(entry.getValue()).compareTo(TERMINATED_RETENTION) > 0
                        && !replica.machines().containsKey(entry.getKey()));
    }

    /** Terminates the machines that are due, many with one request. */
    void terminateDue() {
        if (requestInFlight) {
            return;
        }
        List<String> machineIds = dueForTermination();
        if (machineIds.isEmpty()) {
            return;
        }
        requestInFlight = true;
        cloud.terminate(machineIds).whenComplete((confirmed, failure) -> {
            if (failure == null) {
                machineIds.forEach(machineId ->
                        terminatedAt.put(machineId, context.timeSource().now()));
                requestInFlight = false;
            } else {
                LOG.debug("machine termination failed machines={} cause={}", machineIds.size(), failure.toString());
                context.timeSource().schedule(RETRY_DELAY, () -> requestInFlight = false);
            }
        });
    }

    private List<String> dueForTermination() {
        var machineIds = new ArrayList<String>();
        for (MachineRecord machine : replica.machines().values()) {
            boolean due = terminatingWithoutDrain.contains(machine.id()) || isDrained(machine);
            if (due && !isTerminated(machine.id()) && machineIds.size() < MAX_MACHINES_PER_REQUEST) {
                machineIds.add(machine.id());
            }
        }
        return machineIds;
    }

    private boolean isDrained(MachineRecord machine) {
        return machine.draining() && isDrainRevisionApplied(machine) && mayEndAllocations(machine);
    }

    /**
     * Placements have the machine's record as a precondition: once it says draining and the replica has applied everything up to that
     * revision, no new placement can come.
     */
    private boolean isDrainRevisionApplied(MachineRecord machine) {
        return replica.appliedRevision() >= replica.modRevision(Keys.machinePage(machine.id()));
    }

    private boolean mayEndAllocations(MachineRecord machine) {
        return !machine.drainsGracefully()
                || replica.allocationsOn(machine.id()).isEmpty();
    }
}
