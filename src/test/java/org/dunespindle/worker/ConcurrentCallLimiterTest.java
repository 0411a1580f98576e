package org.dunespindle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits on calls to workers in flight, and the order in which queued machines are called when a call ends. */
class ConcurrentCallLimiterTest {
    private static final int SOCKETS = 160;
    private static final int MAX_CALLS = 20;
    private final ConcurrentCallLimiter limiter = new ConcurrentCallLimiter(SOCKETS);
    private final List<String> nextMachines = new ArrayList<>();

    private void startCalls(int count, boolean unresponsive) {
        for (int i = 0; i < count; i++) {
            limiter.callStarted(unresponsive);
        }
    }

    @Test
    void callsToUnresponsiveWorkersAreLimitedToHalf() {
        startCalls(MAX_CALLS / 2, true);
        assertTrue(limiter.isFull(true));
        assertFalse(limiter.isFull(false));
        limiter.callEnded(true, nextMachines::add);
        assertFalse(limiter.isFull(true));
    }

    @Test
    void allCallsTogetherAreLimited() {
        startCalls(MAX_CALLS, false);
        assertTrue(limiter.isFull());
        assertTrue(limiter.isFull(false));
        limiter.callEnded(false, nextMachines::add);
        assertFalse(limiter.isFull());
    }

    @Test
    void queuedMachinesAreCalledInOrderAsCallsEnd() {
        startCalls(MAX_CALLS, false);
        limiter.enqueue("i-1");
        limiter.enqueue("i-2");
        limiter.enqueue("i-1");
        limiter.callEnded(false, nextMachines::add);
        assertEquals(List.of("i-1"), nextMachines);
        limiter.callEnded(false, nextMachines::add);
        assertEquals(List.of("i-1", "i-2"), nextMachines);
        limiter.callEnded(false, nextMachines::add);
        assertEquals(List.of("i-1", "i-2"), nextMachines);
    }
}
