package org.dunespindle.job;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Counts the outcomes of one team's quota requests since this process started. */
final class AdmissionCounters {
    private long admittedWithinShare;
    private long admittedWithNewReservation;
    private long rejected;
    private long unacknowledged;
    private long deferred;
    private long sharesRevoked;
    private String lastDeferReason = "";

    /** Counts a placement whose transaction was applied. */
    void onApplied(boolean withNewReservation) {
        if (withNewReservation) {
            admittedWithNewReservation++;
        } else {
            admittedWithinShare++;
        }
    }

    /** Counts a placement whose transaction was rejected. */
    void onRejected() {
        rejected++;
    }

    /** Counts a placement whose transaction may or may not have been applied. */
    void onUnacknowledged() {
        unacknowledged++;
    }

    /** Counts a reservation that was written in order to revoke the shares. */
    void onSharesRevoked() {
        sharesRevoked++;
    }

    /** Counts a deferred request; returns whether its reason differs from that of the previous one. */
    boolean onDeferred(String reason) {
        deferred++;
        boolean changed = !reason.equals(lastDeferReason);
        lastDeferReason = reason;
        return changed;
    }

    /** Writes the counters into an answer of the administration API. */
    void writeTo(ObjectNode into) {
        into.put("placedWithinShare", admittedWithinShare)
                .put("placedWithNewRecord", admittedWithNewReservation)
                .put("refused", rejected)
                .put("unanswered", unacknowledged)
                .put("sharesClosed", sharesRevoked)
                .put("waited", deferred)
                .put("lastWait", lastDeferReason);
    }
}
