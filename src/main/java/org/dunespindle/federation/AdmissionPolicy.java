package org.dunespindle.federation;

import java.util.Collection;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/** Whether a cell takes a job of another one, by its leader's latest plan. Pure. */
public final class AdmissionPolicy {
    private AdmissionPolicy() {}

    /**
     * What the decision rests on.
     *
     * @param never why the job can never run here, if so
     * @param visitors unfinished jobs of other cells that are here already
     * @param givesAway kinds of work that this cell gives away
     */
    public record View(
            CapacitySurvey room,
            Optional<String> never,
            int visitors,
            int mostVisitors,
            Collection<ResourceKind> givesAway) {}

    /** Why the job is not taken; empty if it is. */
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
