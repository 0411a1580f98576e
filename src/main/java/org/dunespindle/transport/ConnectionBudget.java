package org.dunespindle.transport;

/**
 * Counts this process's connections against the platform's limit on sockets. The last running controller of a cell holds a connection of
 * every worker in addition to those of users, health checks and its own calls. Past the limit every new connection fails, so a part is
 * reserved for clients that connect rarely. Used on one event loop only.
 */
public final class ConnectionBudget {
    /** Descriptors other than connections: listeners, the event loop's own and files. */
    private static final int OTHER_DESCRIPTORS = 24;

    private static final int MIN_CONNECTIONS = 32;
    /** The divisor of the part reserved for users, health checks and the few calls that must always succeed. */
    private static final int RESERVED_DIVISOR = 6;

    private final int maxUnreserved;
    private int open;

    /** Counts against a limit on this process's open descriptors. */
    public ConnectionBudget(int limit) {
        int usable = Math.max(MIN_CONNECTIONS, limit - OTHER_DESCRIPTORS);
        this.maxUnreserved = usable - usable / RESERVED_DIVISOR;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    /** Whether only the reserved part is left; idle connections are then closed, and those of workers after each answer. */
    public boolean scarce() {
        return open >= maxUnreserved;
    }
}
