package org.dunespindle.worker;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The machines to reconcile in the next pass. A machine is reconciled after a change, not periodically: there are many machines, and
 * most have not changed.
 */
final class ReconciliationQueue {
    private final Runnable wakeEventLoop;
    private Set<String> pending = new LinkedHashSet<>();
    private long version;

    ReconciliationQueue(Runnable wakeEventLoop) {
        this.wakeEventLoop = wakeEventLoop;
    }

    /** Adds a machine to the next pass. */
    void add(String machineId) {
        pending.add(machineId);
    }

    /** Adds machines to the next pass. */
    void addAll(Collection<String> machineIds) {
        pending.addAll(machineIds);
    }

    /** Adds a machine to the next pass and schedules that pass soon. */
    void addAndWake(String machineId) {
        add(machineId);
        wake();
    }

    /** Schedules the next pass soon. */
    void wake() {
        wakeEventLoop.run();
    }

    /** Removes and returns all machines; machines added from now on belong to the following pass. */
    Set<String> drain() {
        if (pending.isEmpty()) {
            return Set.of();
        }
        Set<String> drained = pending;
        pending = new LinkedHashSet<>();
        return drained;
    }

    /** Records that the capacity of machines or the state of their tasks may have changed. */
    void incrementVersion() {
        version++;
    }

    /** A version that increases whenever the capacity of machines or the state of their tasks may have changed. */
    long version() {
        return version;
    }
}
