package org.dunespindle.time;

import java.time.Duration;
import java.time.Instant;

/**
 * The clocks and timers of a process, injected so that tests control the time. Safety depends only on {@link #now}, which is
 * monotonic; {@link #wallTime} is displayed and stored, but never compared where safety depends on the result.
 */
public interface TimeSource {
    /** The monotonic time since an arbitrary origin that is fixed for the lifetime of the process. */
    Duration now();

    /** The wall-clock time, which may deviate from the true time within the tolerance of the settings. */
    Instant wallTime();

    /** Runs a task on the process's event loop after a delay. */
    void schedule(Duration delay, Runnable task);
}
