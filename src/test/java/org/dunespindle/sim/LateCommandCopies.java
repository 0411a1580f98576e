package org.dunespindle.sim;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.transport.HttpClientResponse;

/**
 * Late copies of direct commands: of each command that a worker has carried out and answered, one arrives once more within seconds and one
 * after up to a minute, also if the controller that sent it has ended. They have random draws of their own.
 */
final class LateCommandCopies {
    private static final Duration MIN_DELAY = Duration.ofMillis(100);
    /** Up to the longest delay of the users' late commands. */
    private static final Duration MAX_SHORT_DELAY = Duration.ofSeconds(16);

    private static final Duration MAX_LONG_DELAY = Duration.ofSeconds(60);

    private final VirtualTime sim;
    private final Random random;

    LateCommandCopies(VirtualTime sim, long seed) {
        this.sim = sim;
        this.random = new Random(seed);
    }

    /** Schedules the copies of a command, to be delivered once it has been answered. */
    void schedule(CompletableFuture<HttpClientResponse> answer, Runnable deliver) {
        answer.thenRun(() -> {
            sim.after(RandomDurations.between(random, MIN_DELAY, MAX_SHORT_DELAY), deliver);
            sim.after(RandomDurations.between(random, MIN_DELAY, MAX_LONG_DELAY), deliver);
        });
    }
}
