package org.dunespindle.federation;

import java.util.Collection;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/** Decides from the leader's latest plan whether a cell accepts a job of another cell. A pure function. */
public final class AdmissionPolicy {
    private AdmissionPolicy() {}

    /**
     * The input of the decision.
     *
     * @param neverFitsReason why the job can never run here; empty if it can
     * @param inboundJobs the number of unfinished jobs accepted from other cells
     * @param delegatedKinds the kinds of work that this cell delegates to other cells
     */
    public record View(
            CapacitySurvey survey,
            Optional<String> neverFitsReason,
            int inboundJobs,
            int maxInboundJobs,
            Collection<ResourceKind> delegatedKinds) {}

    /** Why the job is declined; empty if it is accepted. */
    public static Optional<Rejection.Reason> rejectionReason(Submission job, View view) {
        ResourceKind kind = ResourceKind.of(job);
        if (view.neverFitsReason.isPresent()) {
            return Optional.of(Rejection.Reason.NEVER_FITS);
        }
        if (view.delegatedKinds.stream().anyMatch(kind::overlaps)) {
            return Optional.of(Rejection.Reason.GIVES_AWAY);
        }
        if (view.inboundJobs >= view.maxInboundJobs) {
            return Optional.of(Rejection.Reason.TOO_MANY_VISITORS);
        }
        boolean fits = !view.survey.hasWaitingJob(kind, job.priority()) && view.survey.canPlace(job);
        return fits ? Optional.empty() : Optional.of(Rejection.Reason.NO_ROOM);
    }
}
