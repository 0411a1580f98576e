package org.dunespindle.transport;

/**
 * Counts this process's connections against the platform's limit. A controller left alone has every worker's connection
 * beside users', health checks' and its own calls; past the limit any new connection fails, whoever's it is, so a
 * part is kept free for those who ask rarely. All on one event loop.
 */
public final class ConnectionBudget {
    /** Listeners, the loop's own descriptors, files. */
    private static final int OTHER = 24;
    /** The part for users, health checks and the few calls that must always go through. */
    private static final int KEPT_FREE_PART = 6;

    private final int most;
    private int open;

    /** Counts against this limit. */
    public ConnectionBudget(int limit) {
        int usable = Math.max(32, limit - OTHER);
        this.most = usable - usable / KEPT_FREE_PART;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    /** Whether what is left is meant for users: others open no more, and end theirs after each answer. */
    public boolean scarce() {
        return open >= most;
    }
}
