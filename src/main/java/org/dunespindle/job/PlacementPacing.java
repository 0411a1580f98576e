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
 * Which arrays are not placed here just now, because another controller looks after them or because more of their tasks are awaited.
 * Two controllers that write one record at once only make one of them fail. When a record stays as it is with tasks to place, its home
 * has no room, and any other helps. Under load, a job's placements are gathered, the longer the more changes wait to be written.
 */
public final class PlacementPacing {
    /** What a job's home gets before others help. */
    private static final Duration HOME_FIRST = Duration.ofMillis(900);

    /** The same for a service, whose users notice every moment that a replica is missing. */
    private static final Duration HOME_FIRST_SERVICE = Duration.ofMillis(400);

    private static final Duration GATHER_PER_WAITING = Duration.ofMillis(30);
    private static final Duration GATHER_AT_MOST = Duration.ofSeconds(3);
    /**
     * With so many tasks of an array under way, those that end are replaced together: each booking takes a place of its own in the
     * job's record, and a record of small bookings holds a fraction of the tasks.
     */
    private static final int MANY_UNDER_WAY = 200;

    private static final Duration GATHER_MANY = Duration.ofMillis(900);
    private final ControllerContext context;
    private final CommitQueue commitQueue;
    private final Map<String, Unchanged> unchanged = new HashMap<>();

    /** A job's record as it has been for a while, as seen here. */
    private record Unchanged(long stamp, Duration since) {}

    public PlacementPacing(ControllerContext context, CommitQueue commitQueue) {
        this.context = context;
        this.commitQueue = commitQueue;
    }

    /** The arrays, of those given, that are left alone now. */
    public Set<String> leftAlone(List<JobRecord> jobs) {
        var alone = new HashSet<String>();
        var seen = new HashSet<String>();
        Duration gather = gatherTime();
        for (JobRecord job : jobs) {
            if (job.isOpen() && !job.submission().isGang() && job.unplacedCount() > 0) {
                seen.add(job.id());
                if (unchangedFor(job).compareTo(wait(job, gather)) < 0) {
                    alone.add(job.id());
                }
            }
        }
        unchanged.keySet().retainAll(seen);
        return alone;
    }

    private Duration gatherTime() {
        Duration gather = Durations.times(GATHER_PER_WAITING, commitQueue.waiting());
        return gather.compareTo(GATHER_AT_MOST) > 0 ? GATHER_AT_MOST : gather;
    }

    private Duration unchangedFor(JobRecord job) {
        Duration now = context.timeSource().now();
        long stamp = context.replica().modRevision(Keys.job(job.id()));
        Unchanged known = unchanged.get(job.id());
        if (known == null || known.stamp != stamp) {
            known = new Unchanged(stamp, now);
            unchanged.put(job.id(), known);
        }
        return now.minus(known.since);
    }

    /** How long a job's record must have stayed as it is before it is placed here. */
    private Duration wait(JobRecord job, Duration gather) {
        boolean many = job.allocations().size() >= MANY_UNDER_WAY && gather.compareTo(GATHER_MANY) < 0;
        boolean service = job.submission().isService();
        Duration patience = service ? Duration.ZERO : many ? GATHER_MANY : gather;
        String here = context.settings().nodeName();
        if (context.membership().homeOf(job.id()).filter(here::equals).isEmpty()) {
            return (service ? HOME_FIRST_SERVICE : HOME_FIRST).plus(patience);
        }
        return job.allocations().isEmpty() ? Duration.ZERO : patience;
    }
}
