package org.dunespindle.federation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.OutboundDelegation;

/**
 * The latest status of this cell's delegated jobs, as reported by the remote cells. Replies may arrive out of order, so a recorded
 * status is never replaced by an earlier state of the same transfer.
 */
final class RemoteJobStates {
    private final Map<String, Told> told = new HashMap<>();

    /** A report and the time of its request. */
    record Told(InboundJobStatus report, Duration asked) {}

    /**
     * Records a report unless it is older than the recorded one.
     *
     * @param phase the transfer's phase at the time of the request: the report that a cell has no record of a transfer is meaningful
     *     only if the cell had already stored it by then
     */
    void take(InboundJobStatus report, OutboundDelegation.Phase phase, Duration asked) {
        boolean known = phase == OutboundDelegation.Phase.ACCEPTED;
        if (report.state() == InboundJobState.UNKNOWN && !known) {
            return;
        }
        Told before = told.get(report.transfer().job());
        if (before == null || newer(report, asked, before)) {
            told.put(report.transfer().job(), new Told(report, asked));
        }
    }

    private static boolean newer(InboundJobStatus report, Duration asked, Told before) {
        long number = report.transfer().number();
        long numberBefore = before.report.transfer().number();
        if (number != numberBefore) {
            return number > numberBefore;
        }
        InboundJobState state = report.state();
        InboundJobState stateBefore = before.report.state();
        if (stateBefore.ended()) {
            return false;
        }
        return state.ended()
                || (state == InboundJobState.UNKNOWN && asked.compareTo(before.asked) > 0)
                || (state.compareTo(stateBefore) >= 0 && asked.compareTo(before.asked) >= 0)
                || state.compareTo(stateBefore) > 0;
    }

    /** The latest report of a job's present transfer. */
    Optional<Told> of(JobRecord job) {
        long transfer =
                job.outboundDelegation().map(OutboundDelegation::transfer).orElse(-1L);
        return Optional.ofNullable(told.get(job.id()))
                .filter(known -> known.report.transfer().number() == transfer);
    }

    /** Removes the reports of all other jobs. */
    void keepOnly(Set<String> jobs) {
        told.keySet().retainAll(jobs);
    }
}
