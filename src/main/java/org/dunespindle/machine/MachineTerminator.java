package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Terminates machines, which returns them to the cloud. Only the cloud's confirmation proves that a machine and all tasks on it have
 * ended.
 */
public final class MachineTerminator {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTerminator.class);
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);
    private static final Duration TERMINATED_RETENTION = Duration.ofSeconds(300);
    /** The cloud's limit of machines per termination request. */
    private static final int MAX_MACHINES_PER_REQUEST = 100;

    private final ControllerContext context;
    private final StateReplica replica;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final Map<String, Duration> terminatedAt = new HashMap<>();
    /** Machines to terminate whose records are not marked as draining. */
    private final Set<String> terminatingWithoutDrain = new HashSet<>();

    private boolean requestInFlight;

    /** Creates a terminator without terminations in progress. */
    public MachineTerminator(ControllerContext context, MachineRecordWriter machineWriter, CloudClient cloud) {
        this.context = context;
        this.replica = context.replica();
        this.machineWriter = machineWriter;
        this.cloud = cloud;
    }

    /** Whether the cloud has confirmed a machine's termination, so that its allocations can be released. */
    public boolean isTerminated(String machineId) {
        return terminatedAt.containsKey(machineId);
    }

    /** All machines with a confirmed termination that has not been pruned yet. */
    public Set<String> terminatedMachines() {
        return terminatedAt.keySet();
    }

    /** Whether a machine is being or has been terminated, even if its record is not marked as draining. */
    public boolean isTerminating(MachineRecord machine) {
        return machine.draining() || terminatingWithoutDrain.contains(machine.id()) || isTerminated(machine.id());
    }

    /** Whether a draining machine is kept until its tasks have ended; it may be lost before. */
    boolean isWaitingForTasks(MachineRecord machine) {
        return machine.draining()
                && !isClearForTermination(machine)
                && !terminatingWithoutDrain.contains(machine.id())
                && !isTerminated(machine.id());
    }

    /**
     * Stores a machine as draining. It is terminated once no further placement is possible and, if the reason permits a graceful drain,
     * its tasks have ended.
     */
    void drain(MachineRecord machine, DrainReason reason) {
        recordEvent(machine, reason);
        machineWriter.write(CommitPriority.MAINTENANCE, machine.draining(reason.text()), result -> {});
    }

    /**
     * Terminates a machine without storing it as draining first, which halves the writes during a mass failure. This is safe for machines
     * without heartbeats: no task is placed on them, and if the owner receives a heartbeat again just before the termination, tasks that
     * it places there end with the machine.
     */
    void terminateWithoutDrain(MachineRecord machine, DrainReason reason) {
        recordEvent(machine, reason);
        terminatingWithoutDrain.add(machine.id());
    }

    /** Whether a machine's termination without a drain is pending. */
    boolean isMarked(String machineId) {
        return terminatingWithoutDrain.contains(machineId);
    }

    private void recordEvent(MachineRecord machine, DrainReason reason) {
        context.eventRecorder().record(LOG, "machine {} is given back: {}", machine.id(), reason.text());
    }

    /** Drops pending terminations, since decisions of an earlier term as leader are no longer valid. */
    void onLeadershipLost() {
        terminatingWithoutDrain.clear();
    }

    /** Drops the state of a machine whose record was removed. */
    void forget(String machineId) {
        terminatingWithoutDrain.remove(machineId);
    }

    /** Drops machines that were terminated longer ago than the retention time and have no record any more. */
    void prune() {
        Duration now = context.timeSource().now();
        terminatedAt
                .entrySet()
                .removeIf(entry -> now.minus(entry.getValue()).compareTo(TERMINATED_RETENTION) > 0
                        && !replica.machines().containsKey(entry.getKey()));
    }

    /** Terminates the machines that are due, in one request; the next one is sent once it is answered. */
    void terminateDue() {
        terminateAll(machine -> isMarked(machine.id()) || isDrained(machine));
    }

    /** Terminates only the machines whose termination without a drain is pending. */
    void terminateMarked() {
        if (!terminatingWithoutDrain.isEmpty()) {
            terminateAll(machine -> isMarked(machine.id()));
        }
    }

    private void terminateAll(Predicate<MachineRecord> isDue) {
        if (requestInFlight) {
            return;
        }
        List<String> machineIds = notYetTerminated(isDue);
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

    private List<String> notYetTerminated(Predicate<MachineRecord> isDue) {
        return replica.machines().values().stream()
                .filter(isDue)
                .map(MachineRecord::id)
                .filter(machineId -> !isTerminated(machineId))
                .limit(MAX_MACHINES_PER_REQUEST)
                .toList();
    }

    private boolean isDrained(MachineRecord machine) {
        return machine.draining() && isDrainRevisionApplied(machine) && isClearForTermination(machine);
    }

    /**
     * Whether no further placement is possible. Placements have the revision of the machine's record as a precondition, so none can
     * commit after the record was marked as draining; once the replica has applied that revision, it contains all earlier placements.
     */
    private boolean isDrainRevisionApplied(MachineRecord machine) {
        return replica.appliedRevision() >= replica.modRevision(Keys.machinePage(machine.id()));
    }

    private boolean isClearForTermination(MachineRecord machine) {
        return !machine.drainsGracefully()
                || replica.allocationsOn(machine.id()).isEmpty();
    }
}
