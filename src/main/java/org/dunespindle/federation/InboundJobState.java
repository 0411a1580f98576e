package org.dunespindle.federation;

/** The state of a transfer in the cell that the job was offered to. */
public enum InboundJobState {
    /** No record is stored; an offer may still arrive. */
    UNKNOWN,
    /** Accepted, and no task was ever placed. */
    QUEUED,
    /** Accepted, and at least one task was placed at some time. */
    BEGUN,
    /** All tasks are done. */
    DONE,
    /** Cancelled at the request of the job's user. */
    CANCELLED,
    /** Ended before any task was placed; an offer that arrives later is refused. */
    WITHDRAWN,
    /** The transfer's number shows that the origin counts it as ended, or has made a later one. */
    CLOSED;

    /** Whether the state is final: no task of the transfer runs there, now or later. */
    public boolean isFinal() {
        return this == DONE || this == CANCELLED || this == WITHDRAWN || this == CLOSED;
    }
}
