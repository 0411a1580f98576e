package org.dunespindle.federation;

import java.util.List;
import java.util.Optional;

/** What a cell answers another. */
public sealed interface CellReply {
    /**
     * Who is there.
     *
     * @param leads whether the answering controller leads its cell; only the leader knows of room and takes offers
     * @param leader the name of the controller that leads, as far as known
     * @param room empty unless the answering controller leads and has planned
     */
    record Greeting(CellId self, boolean leads, Optional<String> leader, Optional<List<CapacityHint>> room)
            implements CellReply {}

    /** How transfers stand, as stored: an offer, a recall or a cancellation is answered only after its effect is stored. */
    record Reports(List<InboundJobStatus> reports) implements CellReply {}

    /** The job is not taken, and that is stored: the transfer has ended. */
    record Declined(Transfer transfer, Rejection refusal) implements CellReply {}

    /** Nothing was changed, and nothing about any transfer can be concluded. */
    record NotServed(Reason reason, Optional<String> leader) implements CellReply {
        /** Without anybody to turn to instead. */
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

        private final String words;

        Reason(String words) {
            this.words = words;
        }

        /** The reason in words that follow the answering cell's name. */
        public String words() {
            return words;
        }

        /** Whether only an operator can tell what is true. */
        public boolean needsOperator() {
            return this == WRONG_IDENTITY
                    || this == STALE
                    || this == FLOOR_WENT_BACK
                    || this == ENDED_JOBS_RUN
                    || this == ABANDONED;
        }
    }
}
