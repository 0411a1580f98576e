package org.dunespindle.worker;

import java.time.Duration;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/**
 * Answers heartbeats while this controller reaches neither the state service nor a controller that does. A controller that still
 * reaches the state service becomes the owner of its machines, so its workers are rejected and look for that controller. A worker
 * that returns after a rejection found none: its lease is renewed instead of left to expire, as long as no cancellation can have
 * been missed.
 */
final class PartitionedResponder {
    /** How long a rejection counts when the worker sends heartbeats here again. */
    private static final Duration REJECTION_RETENTION = Duration.ofSeconds(40);
    /** A heartbeat earlier than this after the rejection is a retry, not a return after a search for other controllers. */
    private static final Duration MIN_RETURN_DELAY = Duration.ofMillis(1500);

    private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofSeconds(1);
    private final ControllerContext context;
    private final LeaseRenewal leaseRenewal;

    PartitionedResponder(ControllerContext context, LeaseRenewal leaseRenewal) {
        this.context = context;
        this.leaseRenewal = leaseRenewal;
    }

    /** The reply to a heartbeat from any machine, with a record or without. */
    HeartbeatReply reply(ReceivedHeartbeat received, Optional<MachineRecord> machine) {
        Duration now = context.timeSource().now();
        WorkerState worker = received.worker();
        Optional<Duration> sinceRejection = worker.rejectedWhilePartitionedAt()
                .map(now::minus)
                .filter(elapsed -> elapsed.compareTo(REJECTION_RETENTION) < 0);
        boolean hasReturned = sinceRejection
                .filter(elapsed -> elapsed.compareTo(MIN_RETURN_DELAY) > 0)
                .isPresent();
        Optional<MachineRecord> renewable =
                machine.filter(record -> context.membership().owns(record) && received.acceptsTokenOf(record));
        if (renewable.isPresent() && (hasReturned || !receivesFromOtherZones(now))) {
            return leaseRenewal.renew(received, renewable.get());
        }
        if (sinceRejection.isEmpty()) {
            worker.rejectedWhilePartitioned(now);
        }
        return new HeartbeatReply.Unavailable(
                "this controller is partitioned from the state service and the other controllers");
    }

    /**
     * Whether heartbeats arrive from other zones. In a partition between zones only workers of this controller's zone reach it, and no
     * other controller can answer them.
     */
    private boolean receivesFromOtherZones(Duration now) {
        Duration maxAge = Durations.multiply(context.settings().workers().heartbeatInterval(), 2)
                .plus(MAX_HEARTBEAT_DELAY);
        return context.workers().all().stream()
                .filter(worker -> worker.lastHeartbeatAt()
                        .filter(receivedAt -> now.minus(receivedAt).compareTo(maxAge) < 0)
                        .isPresent())
                .flatMap(worker -> worker.lastHeartbeat().stream())
                .anyMatch(status -> !status.zone().equals(context.settings().zone()));
    }
}
