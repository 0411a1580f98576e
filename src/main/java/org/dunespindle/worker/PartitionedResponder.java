package org.dunespindle.worker;

import java.time.Duration;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/**
 * Answers heartbeats while this controller reaches neither the state service nor a controller that does. Whoever can act becomes the
 * owner of its machines, so its workers are sent to find that one. A worker that comes back was rejected everywhere: its lease is
 * rather renewed than left to expire, as long as no cancellation can have been missed.
 */
final class PartitionedResponder {
    private static final Duration REJECTION_RETENTION = Duration.ofSeconds(40);
    private static final Duration MIN_TIME_TO_COME_BACK = Duration.ofMillis(1500);
    private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofSeconds(1);
    private final ControllerContext context;
    private final LeaseRenewal leaseRenewal;

    PartitionedResponder(ControllerContext context, LeaseRenewal leaseRenewal) {
        this.context = context;
        this.leaseRenewal = leaseRenewal;
    }

    /** The reply to a heartbeat, from whatever machine. */
    HeartbeatReply reply(ReceivedHeartbeat received, Optional<MachineRecord> machine) {
        Duration now = context.timeSource().now();
        WorkerState worker = received.worker();
        Optional<Duration> sinceRejection = worker.rejectedWhilePartitionedAt()
                .map(now::minus)
                .filter(elapsed -> elapsed.compareTo(REJECTION_RETENTION) < 0);
        boolean cameBack = sinceRejection
                .filter(elapsed -> elapsed.compareTo(MIN_TIME_TO_COME_BACK) > 0)
                .isPresent();
        Optional<MachineRecord> renewable =
                machine.filter(record -> context.membership().owns(record) && received.acceptsTokenOf(record));
        if (renewable.isPresent() && (cameBack || !hearsOtherZones(now))) {
            return leaseRenewal.renew(received, renewable.get());
        }
        if (sinceRejection.isEmpty()) {
            worker.rejectedWhilePartitioned(now);
        }
        return new HeartbeatReply.Unavailable("this controller is cut off from the state service and the others");
    }

    /** In a partition between zones only the own zone's workers are heard, and no other controller can answer them. */
    private boolean hearsOtherZones(Duration now) {
        Duration maxAge =
                Durations.multiply(context.settings().workers().report(), 2).plus(MAX_HEARTBEAT_DELAY);
        return context.workers().all().stream()
                .filter(worker -> worker.lastHeartbeatAt()
                        .filter(heardAt -> now.minus(heardAt).compareTo(maxAge) < 0)
                        .isPresent())
                .flatMap(worker -> worker.lastHeartbeat().stream())
                .anyMatch(status -> !status.zone().equals(context.settings().zone()));
    }
}
