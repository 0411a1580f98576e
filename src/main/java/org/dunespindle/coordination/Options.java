package org.dunespindle.coordination;

import java.time.Duration;

/** The operators' own settings, with their defaults. */
public record Options(Duration firstHoldTimer, Duration idleBeforeReturn, Duration idleSpotBeforeReturn, Duration silentBeforeReturn, int quarantineAfter, int bootPatience) {
    public static Options defaults(Duration lease) {
        Duration silent = lease.compareTo(Duration.ofSeconds(16)) > 0 ? Duration.ofSeconds(16) : lease;
        return new Options(Duration.ofSeconds(60), Duration.ofSeconds(25), Duration.ofSeconds(60), silent, 2, 3);
    }
}
