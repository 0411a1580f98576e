package org.dunespindle.worker;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The machines to reconcile in the next pass. A machine is reconciled when something about it changed, not periodically: there are
 * many, and most have not changed.
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

    /** Adds a machine to the next pass and has that pass begin soon. */
    void addAndWake(String machineId) {
        add(machineId);
        wake();
    }

    /** Has the next pass begin soon. */
    void wake() {
        wakeEventLoop.run();
    }

    /** Takes all machines; what is added from now on is for the pass after. */
    Set<String> drain() {
        if (pending.isEmpty()) {
            return Set.of();
        }
        Set<String> drained = pending;
        pending = new LinkedHashSet<>();
        return drained;
    }

    /** Records that the capacity of machines, or the state of their tasks, may have changed. */
    void incrementVersion() {
        version++;
    }

    /** Grows whenever the capacity of machines, or the state of their tasks, may have changed. */
    long version() {
        return version;
    }
}
