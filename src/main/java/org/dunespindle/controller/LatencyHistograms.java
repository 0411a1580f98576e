package org.dunespindle.controller;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/** Creates histograms of durations in microseconds, with bounded range and memory. */
final class LatencyHistograms {
    private static final long MAX_MICROS = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long NANOS_PER_MICRO = 1000;

    private LatencyHistograms() {}

    static Histogram create() {
        return new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }

    /** Records a duration; durations beyond the range are recorded as its maximum. */
    static void record(Histogram histogram, Duration duration) {
        histogram.recordValue(Math.min(MAX_MICROS, duration.toNanos() / NANOS_PER_MICRO));
    }
}
