package org.dunespindle.time;

import java.time.Duration;
import java.time.Instant;

/**
 * The clocks and timers of a process, passed in so that tests control the time. Safety rests on {@link #now} alone, which is
 * monotonic; {@link #wallTime} is shown and stored, but never compared where safety depends on it.
 */
public interface TimeSource {
    /** The monotonic time since an arbitrary origin that stays the same for this process. */
    Duration now();

    /** The wall-clock time, which may be off by as much as the settings allow. */
    Instant wallTime();

    /** Runs a task on the process's event loop after a delay. */
    void schedule(Duration delay, Runnable task);
}
