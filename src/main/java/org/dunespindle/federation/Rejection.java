package org.dunespindle.federation;

import java.time.Duration;

/**
 * Why a cell does not take a job.
 *
 * @param retryAfter when asking again may help
 */
public record Rejection(Reason reason, Duration retryAfter) {
    private static final Duration SOON = Duration.ofSeconds(20);
    private static final Duration LATER = Duration.ofMinutes(2);
    private static final Duration MUCH_LATER = Duration.ofMinutes(30);

    /** What stands in the way. */
    public enum Reason {
        NO_ROOM("has no room for it", SOON),
        NEVER_FITS("can never run it: its team, machine types or zones do not fit there", MUCH_LATER),
        TOO_MANY_VISITORS("holds as many jobs of other cells as it takes", LATER),
        GIVES_AWAY("gives away work of this kind itself", LATER),
        ID_TAKEN("has a job of the same id", MUCH_LATER);

        private final String words;
        private final Duration retryAfter;

        Reason(String words, Duration retryAfter) {
            this.words = words;
            this.retryAfter = retryAfter;
        }

        /** The reason in words that follow the cell's name. */
        public String words() {
            return words;
        }
    }

    /** A refusal with the usual time to ask again. */
    public static Rejection of(Reason reason) {
        return new Rejection(reason, reason.retryAfter);
    }
}
