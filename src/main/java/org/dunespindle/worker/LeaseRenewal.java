package org.dunespindle.worker;

import java.time.Duration;
import java.util.List;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.storage.MachineRecord;

/**
 * Renews workers' leases. No lease is renewed while this controller's knowledge of cancellations is too old: a cancellation that
 * another controller confirmed may be unknown here, and its tasks must end in time. A fresh replica alone is sufficient.
 */
final class LeaseRenewal {
    /** How long a task may outlive its lease because of clock drift and messages in flight. */
    private static final Duration LEASE_EXPIRY_MARGIN = Duration.ofSeconds(4);

    private static final Duration MIN_CANCELLATION_STALENESS_LIMIT = Duration.ofSeconds(2);
    private final ControllerContext context;
    private final CancellationTracker cancellationTracker;
    private final EffectiveAllocations allocations;
    private final Duration maxCancellationStaleness;

    LeaseRenewal(ControllerContext context, CancellationTracker cancellationTracker, EffectiveAllocations allocations) {
        this.context = context;
        this.cancellationTracker = cancellationTracker;
        this.allocations = allocations;
        this.maxCancellationStaleness = maxCancellationStaleness(context.settings());
    }

    private static Duration maxCancellationStaleness(Settings settings) {
        Duration limit = settings.workers()
                .cancellationTimeout()
                .minus(settings.workers().leaseDuration())
                .minus(LEASE_EXPIRY_MARGIN);
        return limit.compareTo(MIN_CANCELLATION_STALENESS_LIMIT) < 0 ? MIN_CANCELLATION_STALENESS_LIMIT : limit;
    }

    /** Whether this controller's knowledge of cancellations is fresh enough to renew leases. */
    boolean isAllowed() {
        return cancellationTracker.staleness().compareTo(maxCancellationStaleness) <= 0;
    }

    /** Whether the replica is too old for tasks to be started. */
    boolean isReplicaStale() {
        return context.replica().staleness().compareTo(MachineReconciler.MAX_REPLICA_STALENESS_FOR_START) >= 0;
    }

    /** A reply that only renews a worker's lease and halts tasks of cancelled jobs. */
    HeartbeatReply renew(ReceivedHeartbeat received, MachineRecord machine) {
        return renewWithCommands(machine, allocations.haltsOfCancelledTasks(received.heartbeat()));
    }

    /** A reply that renews a worker's lease and carries commands, up to the limit of one message. */
    HeartbeatReply renewWithCommands(MachineRecord machine, List<WorkerCommand> commands) {
        return new HeartbeatReply.Commands(
                machine.token(),
                commands.stream()
                        .limit(WorkerCommandSender.MAX_COMMANDS_PER_MESSAGE)
                        .toList());
    }
}
