package org.dunespindle.federation;

import java.time.Duration;

/**
 * Why a cell declines a job.
 *
 * @param retryAfter the time after which work of the same kind may be offered again
 */
public record Rejection(Reason reason, Duration retryAfter) {
    private static final Duration SOON = Duration.ofSeconds(20);
    private static final Duration LATER = Duration.ofMinutes(2);
    private static final Duration MUCH_LATER = Duration.ofMinutes(30);

    /** The reasons for declining a job. */
    public enum Reason {
        NO_ROOM("has no room for it", SOON),
        NEVER_FITS("can never run it: the job's team, machine types or zone do not fit that cell", MUCH_LATER),
        TOO_MANY_VISITORS("has reached its limit of jobs accepted from other cells", LATER),
        GIVES_AWAY("delegates work of this kind to other cells itself", LATER),
        ID_TAKEN("has a job of its own with the same id", MUCH_LATER);

        private final String words;
        private final Duration retryAfter;

        Reason(String words, Duration retryAfter) {
            this.words = words;
            this.retryAfter = retryAfter;
        }

        /** The reason as a phrase whose subject is the declining cell. */
        public String words() {
            return words;
        }
    }

    /** A rejection with the reason's default retry interval. */
    public static Rejection of(Reason reason) {
        return new Rejection(reason, reason.retryAfter);
    }
}
