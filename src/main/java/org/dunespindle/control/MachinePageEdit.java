package org.dunespindle.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.TransactionResult;

/** Changes to the machine records of one page that will be written together. */
final class MachinePageEdit {
    private final long baseRevision;
    private final Map<String, Optional<MachineRecord>> changes = new HashMap<>();
    private final List<Consumer<TransactionResult>> callbacks = new ArrayList<>();
    private CommitPriority priority = CommitPriority.MAINTENANCE;

    /** Creates an edit of a page as it is at this revision. */
    MachinePageEdit(long baseRevision) {
        this.baseRevision = baseRevision;
    }

    /** The revision of the page that the changes are based on. */
    long baseRevision() {
        return baseRevision;
    }

    /** Whether this edit changes a machine. */
    boolean changes(String machineId) {
        return changes.containsKey(machineId);
    }

    /** The new records by machine ID; empty for a removed machine. */
    Map<String, Optional<MachineRecord>> changes() {
        return changes;
    }

    /** The most urgent priority among the changes. */
    CommitPriority priority() {
        return priority;
    }

    /** Adds a change of a machine that this edit does not change yet. */
    void add(
            CommitPriority changePriority,
            String machineId,
            Optional<MachineRecord> machine,
            Consumer<TransactionResult> callback) {
        changes.put(machineId, machine);
        callbacks.add(callback);
        if (changePriority.compareTo(priority) < 0) {
            priority = changePriority;
        }
    }

    /** Passes the outcome to the callbacks of all changes. */
    void complete(TransactionResult result) {
        callbacks.forEach(callback -> callback.accept(result));
    }
}
