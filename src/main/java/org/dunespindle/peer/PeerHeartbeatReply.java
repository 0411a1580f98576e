package org.dunespindle.peer;

import java.util.List;
import java.util.Optional;

/**
 * The reply to a {@link PeerHeartbeat}.
 *
 * @param acknowledgement absent if the heartbeat was unreadable
 * @param cancelledJobs all jobs cancelled after the revision in the heartbeat; absent if the list cannot be complete
 */
record PeerHeartbeatReply(
        SenderStatus sender, Optional<Acknowledgement> acknowledgement, Optional<List<String>> cancelledJobs) {

    /** The sequence up to which the machine reports of a sender's incarnation have been applied. */
    record Acknowledgement(long sequence, long incarnation) {}

    /** The reply to an unreadable heartbeat. */
    static PeerHeartbeatReply toUnreadable(SenderStatus sender) {
        return new PeerHeartbeatReply(sender, Optional.empty(), Optional.empty());
    }

    /** The sequence acknowledged to an incarnation; 0 if the reply is to an earlier one, whose sequence is unrelated. */
    long acknowledgedSequence(long incarnation) {
        return acknowledgement
                .filter(ack -> ack.incarnation() == incarnation)
                .map(Acknowledgement::sequence)
                .orElse(0L);
    }
}
