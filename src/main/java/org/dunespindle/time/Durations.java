package org.dunespindle.time;

import java.time.Duration;
import java.util.Optional;

/**
 * Arithmetic on durations for what is computed for every machine or job in every plan. The standard library multiplies and divides
 * durations as decimals, which costs more than the rest of such a comparison.
 */
public final class Durations {
    /** Greater results are cut off here, which leaves a margin for sums of a few of them. */
    private static final long MAX_MILLIS = Long.MAX_VALUE / 4;

    private Durations() {}

    /** A multiple of a duration, to the millisecond; results out of range are cut off. */
    public static Duration multiply(Duration duration, long factor) {
        long millis = duration.toMillis();
        boolean isInRange = factor == 0 || Math.abs(millis) <= MAX_MILLIS / Math.abs(factor);
        return Duration.ofMillis(isInRange ? millis * factor : MAX_MILLIS);
    }

    /** A fraction of a duration, to the millisecond. */
    public static Duration fraction(Duration duration, long numerator, long denominator) {
        return Duration.ofMillis(multiply(duration, numerator).toMillis() / denominator);
    }

    /** The longer of two durations. */
    public static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** The later of two times, of which either may be unknown; if only one is known, that one. */
    public static Optional<Duration> latest(Optional<Duration> first, Optional<Duration> second) {
        if (first.isEmpty()) {
            return second;
        }
        boolean isFirstLater = second.isEmpty() || first.get().compareTo(second.get()) >= 0;
        return isFirstLater ? first : second;
    }
}
