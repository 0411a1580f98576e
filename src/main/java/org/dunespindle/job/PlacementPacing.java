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
 * Defers the placement of arrays and services on this controller, either because another controller is responsible for them or because
 * more of their tasks are expected soon.
 *
 * <p>Each job has a home controller, which places it first: when two controllers write one record concurrently, one of the transactions
 * conflicts. A record that stays unchanged with tasks to place shows that its home has no capacity, and then any controller helps. Under load,
 * the placements of a job are batched, the longer the more transactions wait in the commit queue.
 */
public final class PlacementPacing {
    /** How long only a job's home controller places it. */
    private static final Duration HOME_ONLY_INTERVAL = Duration.ofMillis(900);

    /** The same for a service, whose users notice every moment that a replica is missing. */
    private static final Duration HOME_ONLY_INTERVAL_FOR_SERVICES = Duration.ofMillis(400);

    private static final Duration BATCH_INTERVAL_PER_QUEUED_TRANSACTION = Duration.ofMillis(30);
    private static final Duration MAX_BATCH_INTERVAL = Duration.ofSeconds(3);
    /**
     * With so many allocated tasks, those of an array that end are replaced in batches: each placement takes an entry of its own in the
     * job's record, and a record of small entries holds a fraction of the tasks.
     */
    private static final int MIN_ALLOCATIONS_OF_LARGE_ARRAY = 200;

    private static final Duration MIN_BATCH_INTERVAL_OF_LARGE_ARRAY = Duration.ofMillis(900);
    private final ControllerContext context;
    private final CommitQueue commitQueue;
    private final Map<String, ObservedRevision> observed = new HashMap<>();

    /** The revision of a job's record, and since when this controller has seen it unchanged. */
    private record ObservedRevision(long modRevision, Duration since) {}

    /** Creates the pacing of one controller's placements. */
    public PlacementPacing(ControllerContext context, CommitQueue commitQueue) {
        this.context = context;
        this.commitQueue = commitQueue;
    }

    /** The ids of those jobs, arrays and services, whose placement is deferred now. */
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

    /** How long a job's record must have stayed unchanged before this controller places the job. */
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
