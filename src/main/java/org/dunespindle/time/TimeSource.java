package org.dunespindle.time;

import java.time.Duration;
import java.time.Instant;

/**
 * The clocks and timers that the service runs on, passed in so that tests decide what time it is.
 * {@link #now} never goes back; {@link #wallTime} is only shown and stored, never compared for safety.
 */
public interface TimeSource {
    /** Steady time since some fixed moment of this process. */
    Duration now();

    /** The time of day, within the bound that the settings give. */
    Instant wallTime();

    /** Runs work on the service's one thread after a delay. */
    void schedule(Duration delay, Runnable work);
}
