package org.dunespindle.federation;

import java.util.List;
import java.util.Optional;

/** A reply to a request from another cell. */
public sealed interface CellReply {
    /**
     * The reply to a hello: the cell's identity, its leader and its capacity hints.
     *
     * @param leads whether the replying controller leads its cell; only the leader has capacity hints and accepts offers
     * @param leader the name of the leading controller; empty if unknown
     * @param capacityHints the capacity hints; empty unless the replying controller leads and has a current plan
     */
    record Greeting(CellId self, boolean leads, Optional<String> leader, Optional<List<CapacityHint>> capacityHints)
            implements CellReply {}

    /** The stored status of transfers. An offer, a recall or a cancellation is answered only after its effect is stored. */
    record Reports(List<InboundJobStatus> reports) implements CellReply {}

    /** The job was declined. The rejection is stored, so the transfer has ended. */
    record Declined(Transfer transfer, Rejection rejection) implements CellReply {}

    /** The request was not served: nothing was changed, and the reply implies nothing about any transfer. */
    record NotServed(Reason reason, Optional<String> leader) implements CellReply {
        /** A reply that names no leader to retry with. */
        static NotServed of(Reason reason) {
            return new NotServed(reason, Optional.empty());
        }
    }

    /** Why a request was not served. */
    enum Reason {
        NOT_READY("is not ready yet"),
        STATE_UNAVAILABLE("cannot reach its state service"),
        NOT_LEADER("does not lead its cell"),
        STRANGER("does not have this cell in its features file"),
        WRONG_IDENTITY("knows another cell by this name, or was taken for another one"),
        STALE("has heard of a newer state of this cell"),
        FLOOR_WENT_BACK("has heard of a newer state of this cell: transfers that had ended are open again"),
        ENDED_JOBS_RUN("holds jobs whose transfers this cell counts as ended"),
        ABANDONED("was told by its operators to abandon this cell"),
        ID_IN_USE("holds a job of this id of a third cell");

        private final String description;

        Reason(String description) {
            this.description = description;
        }

        /** The reason as a phrase whose subject is the replying cell. */
        public String description() {
            return description;
        }

        /** Whether the cause is an inconsistency that only an operator can resolve. */
        public boolean needsOperator() {
            return this == WRONG_IDENTITY
                    || this == STALE
                    || this == FLOOR_WENT_BACK
                    || this == ENDED_JOBS_RUN
                    || this == ABANDONED;
        }
    }
}
