package org.dunespindle.control;

import java.time.Duration;

/**
 * Counts how often in a row a worker was redirected to the same owner. A worker that returns soon could not reach the owner; heartbeats
 * that are sent again immediately count as one attempt.
 */
final class RedirectCounter {
    private static final Duration MIN_INTERVAL_BETWEEN_ATTEMPTS = Duration.ofMillis(700);
    private static final Duration MAX_INTERVAL_BETWEEN_ATTEMPTS = Duration.ofSeconds(12);
    private Duration lastAttemptAt = Duration.ZERO;
    private long machineRevision = -1;
    private int attempts;

    /**
     * Counts a heartbeat that is about to be redirected.
     *
     * @param revision the revision of the machine's record: a new one, which may have a new owner, resets the count
     */
    void record(long revision, Duration now) {
        Duration sinceLast = now.minus(lastAttemptAt);
        if (machineRevision != revision || sinceLast.compareTo(MAX_INTERVAL_BETWEEN_ATTEMPTS) > 0) {
            attempts = 1;
            machineRevision = revision;
            lastAttemptAt = now;
        } else if (sinceLast.compareTo(MIN_INTERVAL_BETWEEN_ATTEMPTS) > 0) {
            attempts++;
            lastAttemptAt = now;
        }
    }

    int attempts() {
        return attempts;
    }
}
