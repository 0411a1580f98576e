package org.dunespindle.federation;

import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/**
 * The decision on another cell's request about a transfer: either an immediate reply, or a change that has to be stored first.
 *
 * @param change the change to store; empty if the reply is immediate
 * @param reply the immediate reply; empty if there is a change
 */
record InboundDecision(Optional<Change> change, Optional<CellReply> reply) {
    /** A requested change, and the reply to send once it is stored. */
    record Change(JobRecord record, CellReply reply) {}

    /** Decides to reply at once. */
    static InboundDecision answer(CellReply reply) {
        return new InboundDecision(Optional.empty(), Optional.of(reply));
    }

    /** Decides to store a record and to reply then. */
    static InboundDecision store(JobRecord job, CellReply reply) {
        return new InboundDecision(Optional.of(new Change(job, reply)), Optional.empty());
    }
}
