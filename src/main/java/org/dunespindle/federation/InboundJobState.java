package org.dunespindle.federation;

/** How a transfer stands in the cell that it went to. */
public enum InboundJobState {
    /** Nothing is stored of it; an offer may still be under way. */
    UNKNOWN,
    /** Accepted, and no task was ever booked. */
    QUEUED,
    /** Accepted, and at least one task was booked at some time. */
    BEGUN,
    /** All tasks are done. */
    DONE,
    /** Cancelled at the wish of the job's user. */
    CANCELLED,
    /** Ended before any task was booked; an offer that arrives later is refused. */
    WITHDRAWN,
    /** So old that its own cell has counted it as ended. */
    CLOSED;

    /** Whether nothing of the transfer runs there any more, or ever will. */
    public boolean ended() {
        return this == DONE || this == CANCELLED || this == WITHDRAWN || this == CLOSED;
    }
}
