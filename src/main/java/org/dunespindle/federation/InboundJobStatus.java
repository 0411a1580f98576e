package org.dunespindle.federation;

import java.util.Optional;

/**
 * The status of a transfer, as the remote cell reports it.
 *
 * @param waitReason why not all tasks run; empty if all are placed
 */
public record InboundJobStatus(
        Transfer transfer, InboundJobState state, int done, int running, int failures, Optional<String> waitReason) {
    /** A status without task counts. */
    public static InboundJobStatus of(Transfer transfer, InboundJobState state) {
        return new InboundJobStatus(transfer, state, 0, 0, 0, Optional.empty());
    }
}
