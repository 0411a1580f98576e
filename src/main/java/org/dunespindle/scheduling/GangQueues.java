package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/**
 * Which gang of each team is in placement: one at a time, in the order they came. One whose placeholders are all booked has left
 * placement, since its whole ask counts as use by then. A gang of one never holds partial room, so it does not queue.
 */
final class GangQueues {
    /** A gang that has waited so long for its team's limit is not overtaken by the team's later work any more. */
    private static final Duration OVERTAKEN_AT_MOST = Duration.ofSeconds(20);

    private final PlanState state;
    private final Map<String, JobRecord> heads = new HashMap<>();

    GangQueues(PlanState state) {
        this.state = state;
        var visitors = new HashMap<String, JobRecord>();
        for (JobRecord job : state.snapshot().jobs()) {
            if (queues(job)) {
                Map<String, JobRecord> queue = job.inboundDelegation().isPresent() ? visitors : heads;
                queue.merge(job.submission().team(), job, (a, b) -> earlier(a, b) ? a : b);
            }
        }
        visitors.forEach((team, visitor) -> heads.merge(team, visitor, GangQueues::ownOrHigher));
        heads.values().forEach(this::keepLimitFree);
    }

    /** The gang of a team that is in placement. */
    Optional<JobRecord> head(String team) {
        return Optional.ofNullable(heads.get(team));
    }

    /** Whether a gang may be placed now. */
    boolean mayPlace(JobRecord gang) {
        JobRecord head = heads.get(gang.submission().team());
        if (head == null || head.id().equals(gang.id())) {
            return true;
        }
        boolean single = gang.submission().tasks() == 1;
        return single && (state.teamAllows(head.submission(), head.unplacedCount()) || earlier(gang, head));
    }

    /** One that pauses after its tasks failed does not queue: it would keep its team's other gangs waiting for as long. */
    private boolean queues(JobRecord job) {
        boolean pauses = job.gangPhase() == JobRecord.GangPhase.QUEUED
                && job.notBefore()
                        .filter(t -> t.isAfter(state.snapshot().now()))
                        .isPresent();
        return job.isOpen()
                && job.submission().isGang()
                && job.submission().tasks() > 1
                && job.unplacedCount() > 0
                && !pauses;
    }

    private void keepLimitFree(JobRecord head) {
        Duration waited = Duration.between(head.arrived(), state.snapshot().now());
        boolean waitedLong = waited.compareTo(OVERTAKEN_AT_MOST) > 0;
        boolean unplaced = head.gangPhase() == JobRecord.GangPhase.QUEUED;
        if (waitedLong
                && unplaced
                && !state.teamAllows(head.submission(), head.submission().tasks())) {
            state.reserve(head.submission().team(), head.submission().totalResources());
        }
    }

    /** The cell's own gang goes before one from another cell, unless that has a higher priority or is being placed already. */
    private static JobRecord ownOrHigher(JobRecord own, JobRecord visitor) {
        boolean placingOwn = own.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
        boolean placingVisitor = visitor.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
        boolean higher =
                visitor.submission().priority().compareTo(own.submission().priority()) > 0;
        return placingOwn != placingVisitor ? placingOwn ? own : visitor : higher ? visitor : own;
    }

    /** A gang whose placeholders are being placed stays the head; otherwise arrival order decides. */
    private static boolean earlier(JobRecord one, JobRecord other) {
        boolean placingOne = one.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
        boolean placingOther = other.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
        if (placingOne != placingOther) {
            return placingOne;
        }
        return one.queuePosition() != other.queuePosition()
                ? one.queuePosition() < other.queuePosition()
                : one.id().compareTo(other.id()) < 0;
    }
}
