package org.dunespindle.worker;

import java.util.LinkedHashSet;
import java.util.function.Consumer;

/**
 * Bounds the number of calls to workers in flight, and further that of calls to unresponsive workers: in a network partition those
 * hang by the hundred, and each holds a socket. A machine that exceeds the bound is queued; what its worker is sent is decided when
 * its turn comes.
 */
final class ConcurrentCallLimiter {
    /** Calls to workers may use one socket in so many; calls to unresponsive ones half of these. */
    private static final int SOCKETS_PER_CALL = 8;

    private static final int MIN_CALL_LIMIT = 16;
    private final int maxCallsInFlight;
    private final LinkedHashSet<String> queuedMachines = new LinkedHashSet<>();
    private int callsInFlight;
    private int unresponsiveCallsInFlight;

    ConcurrentCallLimiter(int sockets) {
        this.maxCallsInFlight = Math.max(MIN_CALL_LIMIT, sockets / SOCKETS_PER_CALL);
    }

    /** Whether no further call may start. */
    boolean isFull() {
        return callsInFlight >= maxCallsInFlight;
    }

    /** Whether no further call may start to a worker that is, or is not, unresponsive. */
    boolean isFull(boolean unresponsive) {
        return isFull() || (unresponsive && unresponsiveCallsInFlight >= maxCallsInFlight / 2);
    }

    /** Queues a machine until other calls have ended. */
    void enqueue(String machineId) {
        queuedMachines.add(machineId);
    }

    /** Records that a call starts. */
    void callStarted(boolean unresponsive) {
        callsInFlight++;
        unresponsiveCallsInFlight += unresponsive ? 1 : 0;
    }

    /** Records that a call has ended, and passes on the queued machines that may be called now. */
    void callEnded(boolean unresponsive, Consumer<String> nextMachine) {
        callsInFlight--;
        unresponsiveCallsInFlight -= unresponsive ? 1 : 0;
        int free = Math.max(1, maxCallsInFlight - callsInFlight);
        for (var queued = queuedMachines.iterator(); free > 0 && queued.hasNext(); free--) {
            nextMachine.accept(queued.next());
            queued.remove();
        }
    }
}
