package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/**
 * The queue of each team's gangs, in the order of their queue positions; only the gang at its head is placed. A gang whose placeholders are
 * all allocated has left the queue, since its whole request counts as usage from then on. A gang with a single task does not queue, because it
 * never holds partial capacity.
 */
final class GangQueues {
    /** Quota is reserved for a gang at the head of its queue that lacks it after this time, so that later jobs of its team cannot use it. */
    private static final Duration MAX_WAIT_BEFORE_QUOTA_RESERVATION = Duration.ofSeconds(20);

    private final PlanState state;
    private final Map<String, JobRecord> heads = new HashMap<>();

    GangQueues(PlanState state) {
        this.state = state;
        var inboundHeads = new HashMap<String, JobRecord>();
        for (JobRecord job : state.snapshot().jobs()) {
            if (isQueued(job)) {
                Map<String, JobRecord> queue = job.inboundDelegation().isPresent() ? inboundHeads : heads;
                queue.merge(job.submission().team(), job, (one, other) -> precedes(one, other) ? one : other);
            }
        }
        inboundHeads.forEach((team, inbound) -> heads.merge(team, inbound, GangQueues::localUnlessOutranked));
        heads.values().forEach(this::reserveQuotaFor);
    }

    /** The gang at the head of a team's queue. */
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
        return single && (state.quota().allows(head.submission(), head.unplacedCount()) || precedes(gang, head));
    }

    /** A gang that backs off after failures is not queued: it would block its team's other gangs until the back-off ends. */
    private boolean isQueued(JobRecord job) {
        boolean backsOff = job.gangPhase() == JobRecord.GangPhase.QUEUED
                && job.notBefore()
                        .filter(until -> until.isAfter(state.snapshot().now()))
                        .isPresent();
        return job.isOpen()
                && job.submission().isGang()
                && job.submission().tasks() > 1
                && job.unplacedCount() > 0
                && !backsOff;
    }

    private void reserveQuotaFor(JobRecord head) {
        Duration waited = Duration.between(head.arrived(), state.snapshot().now());
        boolean waitedLong = waited.compareTo(MAX_WAIT_BEFORE_QUOTA_RESERVATION) > 0;
        boolean unplaced = head.gangPhase() == JobRecord.GangPhase.QUEUED;
        if (waitedLong
                && unplaced
                && !state.quota().allows(head.submission(), head.submission().tasks())) {
            state.quota().reserve(head.submission().team(), head.submission().totalResources());
        }
    }

    /** A local gang precedes an inbound one, unless the inbound gang has a higher priority or is already being placed. */
    private static JobRecord localUnlessOutranked(JobRecord local, JobRecord inbound) {
        boolean placingLocal = local.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
        boolean placingInbound = inbound.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
        if (placingLocal != placingInbound) {
            return placingLocal ? local : inbound;
        }
        boolean higher =
                inbound.submission().priority().compareTo(local.submission().priority()) > 0;
        return higher ? inbound : local;
    }

    /** A gang whose placeholders are being placed stays at the head; otherwise the queue position decides. */
    private static boolean precedes(JobRecord one, JobRecord other) {
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
