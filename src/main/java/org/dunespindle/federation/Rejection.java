package org.dunespindle.federation;

import java.time.Duration;

/**
 * Why a cell declines a job.
 *
 * @param retryAfter the time after which work of the same kind may be offered again
 */
public record Rejection(Reason reason, Duration retryAfter) {
    private static final Duration SHORT_RETRY_INTERVAL = Duration.ofSeconds(20);
    private static final Duration MEDIUM_RETRY_INTERVAL = Duration.ofMinutes(2);
    private static final Duration LONG_RETRY_INTERVAL = Duration.ofMinutes(30);

    /** The reasons for declining a job. */
    public enum Reason {
        NO_ROOM("has no room for it", SHORT_RETRY_INTERVAL),
        NEVER_FITS("can never run it: the job's team, machine types or zone do not fit that cell", LONG_RETRY_INTERVAL),
        TOO_MANY_VISITORS("has reached its limit of jobs accepted from other cells", MEDIUM_RETRY_INTERVAL),
        GIVES_AWAY("delegates work of this kind to other cells itself", MEDIUM_RETRY_INTERVAL),
        ID_TAKEN("has a job of its own with the same id", LONG_RETRY_INTERVAL);

        private final String description;
        private final Duration retryAfter;

        Reason(String description, Duration retryAfter) {
            this.description = description;
            this.retryAfter = retryAfter;
        }

        /** The reason as a phrase whose subject is the declining cell. */
        public String description() {
            return description;
        }
    }

    /** A rejection with the reason's default retry interval. */
    public static Rejection of(Reason reason) {
        return new Rejection(reason, reason.retryAfter);
    }
}
