package org.dunespindle.worker;

import java.util.LinkedHashSet;
import java.util.function.Consumer;

/**
 * Limits the number of calls to workers in flight, with a lower limit for calls to unresponsive workers: in a network partition
 * hundreds of these wait for their timeout, and each holds a socket. A machine above the limit is queued; its commands
 * are decided only when it may be called.
 */
final class ConcurrentCallLimiter {
    /** One call to a worker is allowed per this many sockets; calls to unresponsive workers may use half of the limit. */
    private static final int SOCKETS_PER_CALL = 8;

    private static final int MIN_CALL_LIMIT = 16;
    private final int maxCallsInFlight;
    private final LinkedHashSet<String> queuedMachines = new LinkedHashSet<>();
    private int callsInFlight;
    private int unresponsiveCallsInFlight;

    ConcurrentCallLimiter(int sockets) {
        this.maxCallsInFlight = Math.max(MIN_CALL_LIMIT, sockets / SOCKETS_PER_CALL);
    }

    /** Whether the limit of calls in flight is reached. */
    boolean isFull() {
        return callsInFlight >= maxCallsInFlight;
    }

    /** Whether the limit is reached for a worker that is, or is not, unresponsive. */
    boolean isFull(boolean unresponsive) {
        return isFull() || (unresponsive && unresponsiveCallsInFlight >= maxCallsInFlight / 2);
    }

    /** Queues a machine until other calls end. */
    void enqueue(String machineId) {
        queuedMachines.add(machineId);
    }

    /** Records that a call starts. */
    void callStarted(boolean unresponsive) {
        callsInFlight++;
        unresponsiveCallsInFlight += unresponsive ? 1 : 0;
    }

    /** Records that a call has ended, and passes the queued machines that may be called now to the consumer. */
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
