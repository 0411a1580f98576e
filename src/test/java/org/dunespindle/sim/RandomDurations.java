package org.dunespindle.sim;

import java.time.Duration;
import java.util.Random;

/** Random times for the faults of a run. */
final class RandomDurations {
    private RandomDurations() {}

    /** Draws a time in whole milliseconds, at least {@code least} and less than {@code most}. */
    static Duration between(Random random, Duration least, Duration most) {
        return least.plusMillis(random.nextInt((int) most.minus(least).toMillis()));
    }
}
