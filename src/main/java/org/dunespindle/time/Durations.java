package org.dunespindle.time;

import java.time.Duration;
import java.util.Optional;

/**
 * Arithmetic on durations for computations per machine or job in every plan. {@link Duration} multiplies and divides with decimal
 * arithmetic, which costs more than the rest of such a computation.
 */
public final class Durations {
    /** The maximum result in milliseconds, which leaves a margin so that sums of a few results do not overflow. */
    private static final long MAX_MILLIS = Long.MAX_VALUE / 4;

    private Durations() {}

    /** A multiple of a duration in whole milliseconds; a result out of range is replaced by the maximum. */
    public static Duration multiply(Duration duration, long factor) {
        long millis = duration.toMillis();
        boolean isInRange = factor == 0 || Math.abs(millis) <= MAX_MILLIS / Math.abs(factor);
        return Duration.ofMillis(isInRange ? millis * factor : MAX_MILLIS);
    }

    /** A fraction of a duration in whole milliseconds, rounded towards zero. */
    public static Duration fraction(Duration duration, long numerator, long denominator) {
        return Duration.ofMillis(multiply(duration, numerator).toMillis() / denominator);
    }

    /** The longer of two durations. */
    public static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** The later of two times; if only one is present, that one. */
    public static Optional<Duration> latest(Optional<Duration> first, Optional<Duration> second) {
        if (first.isEmpty()) {
            return second;
        }
        boolean isFirstLater = second.isEmpty() || first.get().compareTo(second.get()) >= 0;
        return isFirstLater ? first : second;
    }
}
