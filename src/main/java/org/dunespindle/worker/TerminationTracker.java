package org.dunespindle.worker;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.WorkerState;
import org.dunespindle.time.TimeSource;

/** Tracks the machines with task terminations that are not stored yet. */
final class TerminationTracker {
    private final TimeSource timeSource;
    private final ReconciliationQueue reconciliationQueue;
    private final Set<String> machinesWithTerminations = new LinkedHashSet<>();

    TerminationTracker(TimeSource timeSource, ReconciliationQueue reconciliationQueue) {
        this.timeSource = timeSource;
        this.reconciliationQueue = reconciliationQueue;
    }

    /** The machines with task terminations that are not stored yet. */
    Set<String> machinesWithTerminations() {
        return machinesWithTerminations;
    }

    /** Replaces a machine's terminations that are not stored yet. */
    void record(String machineId, WorkerState worker, List<TaskTermination> terminations) {
        if (worker.terminations().isEmpty() && terminations.isEmpty()) {
            return;
        }
        if (!worker.terminations().equals(terminations)) {
            reconciliationQueue.incrementVersion();
            worker.recordTerminations(terminations, timeSource.now());
        }
        if (terminations.isEmpty()) {
            machinesWithTerminations.remove(machineId);
        } else {
            machinesWithTerminations.add(machineId);
        }
    }

    /** Discards a machine's terminations: this controller does not own the machine, or its status is not conclusive now. */
    void clear(String machineId, WorkerState worker) {
        record(machineId, worker, List.of());
    }
}
