package org.dunespindle.sim;

import java.util.Random;

/**
 * The random draws for the messages of a simulated cluster. Reads of single keys draw from a stream of their own, so that the other draws of
 * a seed don't depend on how many of them there are.
 */
final class MessageDraws {
    private static final long KEY_READ_SEED = 49;
    private static final int MIN_DELAY_MILLIS = 2;
    private static final int DELAY_SPREAD_MILLIS = 15;
    private static final int MESSAGES_PER_SLOW_MESSAGE = 50;
    private static final int SLOW_MESSAGE_MILLIS = 300;

    private final Random random;
    private final Random keyReads = new Random(KEY_READ_SEED);

    MessageDraws(Random random) {
        this.random = random;
    }

    /** The stream for a message to the given target. */
    Random of(String target) {
        return target.startsWith("/keys/") ? keyReads : random;
    }

    /** The time that a message takes. */
    long delay(Random stream, int extraMillis) {
        return (long) MIN_DELAY_MILLIS
                + extraMillis
                + stream.nextInt(DELAY_SPREAD_MILLIS)
                + (stream.nextInt(MESSAGES_PER_SLOW_MESSAGE) == 0 ? SLOW_MESSAGE_MILLIS : 0);
    }
}
