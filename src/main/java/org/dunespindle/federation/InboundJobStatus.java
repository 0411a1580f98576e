package org.dunespindle.federation;

import java.util.Optional;

/**
 * What the cell that a job was given to tells of it.
 *
 * @param waits why not all of its tasks run
 */
public record InboundJobStatus(
        Transfer transfer, InboundJobState state, int done, int running, int failures, Optional<String> waits) {
    /** A report that tells only the state. */
    public static InboundJobStatus of(Transfer transfer, InboundJobState state) {
        return new InboundJobStatus(transfer, state, 0, 0, 0, Optional.empty());
    }
}
