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
     * @param never why the job can never run here; empty if it can
     * @param visitors the number of unfinished jobs accepted from other cells
     * @param givesAway the kinds of work that this cell delegates to other cells
     */
    public record View(
            CapacitySurvey room,
            Optional<String> never,
            int visitors,
            int mostVisitors,
            Collection<ResourceKind> givesAway) {}

    /** Why the job is declined; empty if it is accepted. */
    public static Optional<Rejection.Reason> refusal(Submission job, View view) {
        ResourceKind kind = ResourceKind.of(job);
        if (view.never.isPresent()) {
            return Optional.of(Rejection.Reason.NEVER_FITS);
        }
        if (view.givesAway.stream().anyMatch(kind::overlaps)) {
            return Optional.of(Rejection.Reason.GIVES_AWAY);
        }
        if (view.visitors >= view.mostVisitors) {
            return Optional.of(Rejection.Reason.TOO_MANY_VISITORS);
        }
        boolean room = !view.room.lacks(kind, job.priority()) && view.room.hasRoomFor(job);
        return room ? Optional.empty() : Optional.of(Rejection.Reason.NO_ROOM);
    }
}
