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
    private final Map<String, Observation> observations = new HashMap<>();

    /** A report and the time of its request. */
    record Observation(InboundJobStatus report, Duration requestedAt) {}

    /**
     * Records a report unless it is older than the recorded one.
     *
     * @param phase the transfer's phase at the time of the request: the report that a cell has no record of a transfer is meaningful
     *     only if the cell had already stored it by then
     */
    void record(InboundJobStatus report, OutboundDelegation.Phase phase, Duration requestedAt) {
        boolean stored = phase == OutboundDelegation.Phase.ACCEPTED;
        if (report.state() == InboundJobState.UNKNOWN && !stored) {
            return;
        }
        Observation previous = observations.get(report.transfer().job());
        if (previous == null || isNewer(report, requestedAt, previous)) {
            observations.put(report.transfer().job(), new Observation(report, requestedAt));
        }
    }

    private static boolean isNewer(InboundJobStatus report, Duration requestedAt, Observation previous) {
        long number = report.transfer().number();
        long previousNumber = previous.report.transfer().number();
        if (number != previousNumber) {
            return number > previousNumber;
        }
        InboundJobState state = report.state();
        InboundJobState previousState = previous.report.state();
        if (previousState.isFinal()) {
            return false;
        }
        return state.isFinal()
                || (state == InboundJobState.UNKNOWN && requestedAt.compareTo(previous.requestedAt) > 0)
                || (state.compareTo(previousState) >= 0 && requestedAt.compareTo(previous.requestedAt) >= 0)
                || state.compareTo(previousState) > 0;
    }

    /** The latest report of a job's present transfer. */
    Optional<Observation> of(JobRecord job) {
        long transfer =
                job.outboundDelegation().map(OutboundDelegation::transfer).orElse(-1L);
        return Optional.ofNullable(observations.get(job.id()))
                .filter(latest -> latest.report.transfer().number() == transfer);
    }

    /** Removes the reports of all other jobs. */
    void retainJobs(Set<String> jobs) {
        observations.keySet().retainAll(jobs);
    }
}
