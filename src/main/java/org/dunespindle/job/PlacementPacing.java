package org.dunespindle.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.time.Durations;

/**
 * Decides for which arrays and services placement is deferred on this controller, either because another controller is responsible for them or
 * in order to place more of their tasks in one transaction.
 *
 * <p>Each job has a home controller, which is the first to place it: if two controllers write the same record concurrently, one of the
 * transactions conflicts. If the record of a job with unplaced tasks stays unchanged, its home controller has no capacity, and any controller
 * may place its tasks. Under load, the placements of a job are batched; the batch interval grows with the length of the commit queue.
 */
public final class PlacementPacing {
    /** For this time after a change of a job's record, only its home controller places tasks of the job. */
    private static final Duration HOME_ONLY_INTERVAL = Duration.ofMillis(900);

    /** The same interval for services, which is shorter because a missing replica affects the users of a service at once. */
    private static final Duration HOME_ONLY_INTERVAL_FOR_SERVICES = Duration.ofMillis(400);

    private static final Duration BATCH_INTERVAL_PER_QUEUED_TRANSACTION = Duration.ofMillis(30);
    private static final Duration MAX_BATCH_INTERVAL = Duration.ofSeconds(3);
    /**
     * From this number of allocated tasks, ended tasks of an array are replaced in batches: each placement takes an entry of its own in the
     * job's record, and a record made up of small entries holds only a fraction of the tasks.
     */
    private static final int MIN_ALLOCATIONS_OF_LARGE_ARRAY = 200;

    private static final Duration MIN_BATCH_INTERVAL_OF_LARGE_ARRAY = Duration.ofMillis(900);
    private final ControllerContext context;
    private final CommitQueue commitQueue;
    private final Map<String, ObservedRevision> observed = new HashMap<>();

    /** The revision of a job's record and when this controller first observed it. */
    private record ObservedRevision(long modRevision, Duration since) {}

    /** Creates the pacing of one controller's placements. */
    public PlacementPacing(ControllerContext context, CommitQueue commitQueue) {
        this.context = context;
        this.commitQueue = commitQueue;
    }

    /** The ids of the arrays and services, among the given jobs, whose placement is currently deferred. */
    public Set<String> deferredJobs(List<JobRecord> jobs) {
        var deferred = new HashSet<String>();
        var unplaced = new HashSet<String>();
        Duration batchInterval = batchInterval();
        for (JobRecord job : jobs) {
            if (job.isOpen() && !job.submission().isGang() && job.unplacedCount() > 0) {
                unplaced.add(job.id());
                if (unchangedFor(job).compareTo(requiredUnchanged(job, batchInterval)) < 0) {
                    deferred.add(job.id());
                }
            }
        }
        observed.keySet().retainAll(unplaced);
        return deferred;
    }

    private Duration batchInterval() {
        Duration interval = Durations.multiply(BATCH_INTERVAL_PER_QUEUED_TRANSACTION, commitQueue.pendingCount());
        return interval.compareTo(MAX_BATCH_INTERVAL) > 0 ? MAX_BATCH_INTERVAL : interval;
    }

    private Duration unchangedFor(JobRecord job) {
        Duration now = context.timeSource().now();
        long modRevision = context.replica().modRevision(Keys.job(job.id()));
        ObservedRevision known = observed.get(job.id());
        if (known == null || known.modRevision != modRevision) {
            known = new ObservedRevision(modRevision, now);
            observed.put(job.id(), known);
        }
        return now.minus(known.since);
    }

    /** How long a job's record must have been unchanged before this controller places tasks of the job. */
    private Duration requiredUnchanged(JobRecord job, Duration batchInterval) {
        Duration batching = batchIntervalOf(job, batchInterval);
        if (!isHome(job)) {
            Duration homeOnly = job.submission().isService() ? HOME_ONLY_INTERVAL_FOR_SERVICES : HOME_ONLY_INTERVAL;
            return homeOnly.plus(batching);
        }
        return job.allocations().isEmpty() ? Duration.ZERO : batching;
    }

    private static Duration batchIntervalOf(JobRecord job, Duration batchInterval) {
        if (job.submission().isService()) {
            return Duration.ZERO;
        }
        boolean large = job.allocations().size() >= MIN_ALLOCATIONS_OF_LARGE_ARRAY;
        boolean raised = large && batchInterval.compareTo(MIN_BATCH_INTERVAL_OF_LARGE_ARRAY) < 0;
        return raised ? MIN_BATCH_INTERVAL_OF_LARGE_ARRAY : batchInterval;
    }

    private boolean isHome(JobRecord job) {
        String node = context.settings().nodeName();
        return context.membership()
                .controllerOfJob(job.id())
                .filter(node::equals)
                .isPresent();
    }
}
