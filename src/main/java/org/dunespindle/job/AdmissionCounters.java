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

    /** Counts a placement that was stored. */
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

    /** Counts a placement that may or may not have been stored. */
    void onUnacknowledged() {
        unacknowledged++;
    }

    /** Counts a reservation that was written to revoke the shares. */
    void onSharesRevoked() {
        sharesRevoked++;
    }

    /** Counts a deferred request; returns whether its reason differs from the one before. */
    boolean onDeferred(String reason) {
        deferred++;
        boolean changed = !reason.equals(lastDeferReason);
        lastDeferReason = reason;
        return changed;
    }

    /** Writes the counters in the form of the administration API. */
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
