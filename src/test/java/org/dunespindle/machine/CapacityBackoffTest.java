package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.time.TimeSource;
import org.junit.jupiter.api.Test;

/** Back-off times of pools without capacity. */
class CapacityBackoffTest {
    private static final MachinePool POOL = new MachinePool("large", "a", true);

    private final ManualTime time = new ManualTime();
    private final CapacityBackoff backoff = new CapacityBackoff(time);

    /** A clock that advances only when a test sets it. */
    private static final class ManualTime implements TimeSource {
        private Duration now = Duration.ZERO;

        @Override
        public Duration now() {
            return now;
        }

        @Override
        public Instant wallTime() {
            return Instant.EPOCH.plus(now);
        }

        @Override
        public void schedule(Duration delay, Runnable work) {
            throw new UnsupportedOperationException("nothing is scheduled here");
        }
    }

    @Test
    void poolIsInBackoffUntilItsDurationHasElapsed() {
        Duration duration = backoff.backOff(POOL);
        assertEquals(Duration.ofSeconds(6), duration);
        time.now = duration.minusMillis(1);
        assertEquals(Set.of(POOL), backoff.poolsInBackoff());
        time.now = duration;
        assertEquals(Set.of(), backoff.poolsInBackoff());
    }

    @Test
    void backoffDoublesUpToTheMaximumAndIsResetByCapacity() {
        assertEquals(Duration.ofSeconds(6), backoff.backOff(POOL));
        assertEquals(Duration.ofSeconds(12), backoff.backOff(POOL));
        assertEquals(Duration.ofSeconds(24), backoff.backOff(POOL));
        assertEquals(Duration.ofSeconds(25), backoff.backOff(POOL));
        backoff.reset(POOL);
        assertEquals(Set.of(), backoff.poolsInBackoff());
        assertEquals(Duration.ofSeconds(6), backoff.backOff(POOL));
    }
}
