package org.dunespindle.worker;

import java.util.LinkedHashSet;
import java.util.function.Consumer;

/**
 * Bounds the calls to machines that are under way, and those to silent ones further: in a cut they hang by the hundred, and each holds a
 * socket. A machine that finds no place waits in line; what it is told is decided when its turn comes.
 */
final class ConcurrentCallLimiter {
    /** Calls to machines may take this part of the sockets, those to silent ones half of it. */
    private static final int PART_OF_SOCKETS = 8;

    private static final int LEAST = 16;
    private final int most;
    private final LinkedHashSet<String> inLine = new LinkedHashSet<>();
    private int underWay;
    private int underWayToSilent;

    ConcurrentCallLimiter(int sockets) {
        this.most = Math.max(LEAST, sockets / PART_OF_SOCKETS);
    }

    /** Whether no further call may begin. */
    boolean full() {
        return underWay >= most;
    }

    /** Whether no further call may begin to a machine that is silent, or is not. */
    boolean full(boolean silent) {
        return full() || silent && underWayToSilent >= most / 2;
    }

    /** Has a machine wait until another's call has ended. */
    void queue(String host) {
        inLine.add(host);
    }

    void begin(boolean silent) {
        underWay++;
        underWayToSilent += silent ? 1 : 0;
    }

    /** Notes that a call has ended, and tells whose turn it is. */
    void end(boolean silent, Consumer<String> turn) {
        underWay--;
        underWayToSilent -= silent ? 1 : 0;
        int free = Math.max(1, most - underWay);
        for (var it = inLine.iterator(); free > 0 && it.hasNext(); free--) {
            turn.accept(it.next());
            it.remove();
        }
    }
}
