package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which heartbeats count as a return after a redirect. */
class RedirectCounterTest {
    private static final long REVISION = 5;
    private final RedirectCounter counter = new RedirectCounter();

    private void assertAttempts(int expected, long revision, long atMillis) {
        counter.record(revision, Duration.ofMillis(atMillis));
        assertEquals(expected, counter.attempts());
    }

    @Test
    void aWorkerThatReturnsIsCounted() {
        assertAttempts(1, REVISION, 20_000);
        assertAttempts(2, REVISION, 20_701);
        assertAttempts(3, REVISION, 32_701);
    }

    @Test
    void immediateRetriesCountAsOneAttempt() {
        assertAttempts(1, REVISION, 20_000);
        assertAttempts(1, REVISION, 20_400);
        assertAttempts(1, REVISION, 20_700);
    }

    @Test
    void aLateReturnResetsTheCount() {
        assertAttempts(1, REVISION, 20_000);
        assertAttempts(2, REVISION, 21_000);
        assertAttempts(1, REVISION, 33_001);
    }

    @Test
    void aChangedMachineRecordResetsTheCount() {
        assertAttempts(1, REVISION, 20_000);
        assertAttempts(2, REVISION, 21_000);
        assertAttempts(1, REVISION + 1, 22_000);
    }
}
