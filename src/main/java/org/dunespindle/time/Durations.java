package org.dunespindle.time;

import java.time.Duration;
import java.util.Optional;

/**
 * Arithmetic on times for what runs for every machine or job with every plan: the standard library multiplies and divides durations
 * as decimals, which costs more than the rest of such a comparison.
 */
public final class Durations {
    private static final long LONGEST_MILLIS = Long.MAX_VALUE / 4;

    private Durations() {}

    /** A multiple, to the millisecond; huge ones are cut off. */
    public static Duration times(Duration duration, long factor) {
        long millis = duration.toMillis();
        boolean fits = factor == 0 || Math.abs(millis) <= LONGEST_MILLIS / Math.abs(factor);
        return Duration.ofMillis(fits ? millis * factor : LONGEST_MILLIS);
    }

    /** A part, to the millisecond. */
    public static Duration part(Duration duration, long numerator, long denominator) {
        return Duration.ofMillis(times(duration, numerator).toMillis() / denominator);
    }

    /** The longer of two durations. */
    public static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** The later of two moments that may be unknown; the known one if only one is. */
    public static Optional<Duration> later(Optional<Duration> one, Optional<Duration> other) {
        if (one.isEmpty()) {
            return other;
        }
        return other.isEmpty() || one.get().compareTo(other.get()) >= 0 ? one : other;
    }
}
