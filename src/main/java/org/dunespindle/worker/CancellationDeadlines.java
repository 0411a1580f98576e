package org.dunespindle.worker;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.time.Durations;

/**
 * From when on tasks of cancelled jobs on machines that give no sign of life must be ended. A user who was told of a cancellation relies
 * on the end of its tasks within the cancellation timeout. A machine behind a partition ends them by itself when its lease expires, a
 * hanging machine doesn't, and the two can't be told apart; so the machine is terminated before the timeout.
 *
 * <p>When a user was told isn't stored. It was not before the time up to which this controller knew all cancellations when it didn't know
 * this one yet. Cancellations that a process finds at its start may have been confirmed at any time before, so they are due at once.
 */
public final class CancellationDeadlines {
    /** The time after which a process that ended is back, with its replica loaded. */
    private static final Duration RESTART_TIME = Duration.ofSeconds(8);
    /** The time for the turn of another controller, two inspections of a machine and its termination, with one retry. */
    private static final Duration TERMINATION_TIME = Duration.ofSeconds(8);

    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(500);

    private final ControllerContext context;
    private final CancellationTracker cancellationTracker;
    private final Duration timeUntilDue;
    /** By job that was cancelled and has allocations. */
    private final Map<String, Duration> dueAt = new HashMap<>();

    private Duration nextUpdateAt = Duration.ZERO;
    /** When a cancellation that becomes known in the next update is due; empty before the first update. */
    private Optional<Duration> dueAtOfNext = Optional.empty();

    /** Creates deadlines for the cancellations that the tracker knows. */
    public CancellationDeadlines(ControllerContext context, CancellationTracker cancellationTracker) {
        this.context = context;
        this.cancellationTracker = cancellationTracker;
        this.timeUntilDue = timeUntilDue(context.settings().workers());
    }

    /**
     * Leaves time for a termination, and also for the start of a process that ends just before it; but while a machine behind a partition
     * may still have its lease, only the former.
     */
    private static Duration timeUntilDue(Settings.Workers workers) {
        Duration latest = workers.cancellationTimeout().minus(TERMINATION_TIME);
        Duration leaseEnd = workers.leaseDuration();
        Duration earliest = leaseEnd.compareTo(latest) < 0 ? leaseEnd : latest;
        return Durations.max(latest.minus(RESTART_TIME), earliest);
    }

    /** Records the cancellations that have become known. Called regularly on every controller, since any may have to act. */
    public void update() {
        Duration now = context.timeSource().now();
        if (now.compareTo(nextUpdateAt) < 0) {
            return;
        }
        nextUpdateAt = now.plus(UPDATE_INTERVAL);
        Duration dueAtOfNew = dueAtOfNext.orElse(now);
        Set<String> cancelled = new HashSet<>();
        for (JobRecord job : context.replica().activeJobs()) {
            if (cancellationTracker.isCancelled(job)) {
                cancelled.add(job.id());
                dueAt.putIfAbsent(job.id(), dueAtOfNew);
            }
        }
        dueAt.keySet().retainAll(cancelled);
        dueAtOfNext = Optional.of(now.minus(cancellationTracker.staleness()).plus(timeUntilDue));
    }

    /** The machines with tasks that are due, and since when. They may have ended their tasks already, which is not stored yet. */
    public Map<String, Duration> dueMachines() {
        Duration now = context.timeSource().now();
        var machines = new HashMap<String, Duration>();
        dueAt.forEach((jobId, due) -> {
            if (due.compareTo(now) <= 0) {
                context.replica().activeJob(jobId).ifPresent(job -> addMachines(job, due, machines));
            }
        });
        return machines;
    }

    private static void addMachines(JobRecord job, Duration due, Map<String, Duration> machines) {
        for (Allocation allocation : job.allocations()) {
            machines.merge(allocation.machineId(), due, (one, other) -> one.compareTo(other) < 0 ? one : other);
        }
    }
}
