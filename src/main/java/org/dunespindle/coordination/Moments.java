package org.dunespindle.coordination;

import java.time.Duration;
import java.util.Optional;

/** Moments in time that may be unknown. */
final class Moments {
    private Moments() {}

    /** The later of two moments; the known one if only one is. */
    static Optional<Duration> later(Optional<Duration> one, Optional<Duration> other) {
        if (one.isEmpty()) {
            return other;
        }
        return other.isEmpty() || one.get().compareTo(other.get()) >= 0 ? one : other;
    }
}
