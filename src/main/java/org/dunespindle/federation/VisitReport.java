package org.dunespindle.federation;

import java.util.Optional;

/**
 * What the cell that a job was given to tells of it.
 *
 * @param waits why not all of its tasks run
 */
public record VisitReport(
        Transfer transfer, VisitState state, int done, int running, int failures, Optional<String> waits) {
    /** A report that tells only the state. */
    public static VisitReport of(Transfer transfer, VisitState state) {
        return new VisitReport(transfer, state, 0, 0, 0, Optional.empty());
    }
}
