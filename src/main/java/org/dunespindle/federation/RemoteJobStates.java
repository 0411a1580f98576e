package org.dunespindle.federation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.OutboundDelegation;

/**
 * What other cells told of this cell's jobs. Answers may arrive out of order, so what was told once of a transfer is never replaced by
 * an earlier state of it.
 */
final class RemoteJobStates {
    private final Map<String, Told> told = new HashMap<>();

    /** A report and when it was asked for. */
    record Told(InboundJobStatus report, Duration asked) {}

    /**
     * Takes a report in.
     *
     * @param phase the transfer's phase when it was asked about: that a cell does not know a transfer means something only if it had
     *     stored it before the question
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

    /** What was told of a job's present transfer. */
    Optional<Told> of(JobRecord job) {
        long transfer =
                job.outboundDelegation().map(OutboundDelegation::transfer).orElse(-1L);
        return Optional.ofNullable(told.get(job.id()))
                .filter(known -> known.report.transfer().number() == transfer);
    }

    /** Forgets all jobs but these. */
    void keepOnly(Set<String> jobs) {
        told.keySet().retainAll(jobs);
    }
}
