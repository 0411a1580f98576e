package org.dunespindle.sim;

import java.util.stream.LongStream;

/** The seeds of tests whose range is set with {@code -Dmix.from} and {@code -Dmix.count}. */
final class SeedRange {
    private SeedRange() {}

    /** The seeds of the range that is set, or of the default one. */
    static LongStream of(long defaultFrom, int defaultCount) {
        long from = Long.getLong("mix.from", defaultFrom);
        return LongStream.range(from, from + Integer.getInteger("mix.count", defaultCount));
    }
}
