package org.dunespindle.control;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;

/**
 * Writes machine records. Records that share a page are changed by one write, so changes are first collected for a short time. Each
 * change is based on the revision of the page at the time of the request. If the page is written in between, all of its changes fail
 * with a conflict and their proposers must decide again.
 */
public final class MachineRecordWriter {
    /** From this number of pending proposals on, changes with low priority should be delayed. */
    private static final int MAX_PENDING_PROPOSALS = 6;

    /** How long changes are collected before they are proposed. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(2);

    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final TimeSource timeSource;
    private final Map<String, MachinePageEdit> pendingEdits = new LinkedHashMap<>();
    private boolean flushTimerPending;

    /** Creates a writer that proposes its transactions to a commit queue. */
    public MachineRecordWriter(StateReplica replica, CommitQueue commitQueue, TimeSource timeSource) {
        this.replica = replica;
        this.commitQueue = commitQueue;
        this.timeSource = timeSource;
    }

    /** Whether a change to this machine is pending, or its page is being written. */
    public boolean hasPendingChange(String machineId) {
        String key = Keys.machinePage(machineId);
        MachinePageEdit edit = pendingEdits.get(key);
        return commitQueue.isLocked(key) || (edit != null && edit.changes(machineId));
    }

    /** Whether the backlog is so long that a change with low priority would only keep its page locked. */
    public boolean isBacklogged() {
        return commitQueue.pendingCount() >= MAX_PENDING_PROPOSALS;
    }

    /** Writes a machine's record. */
    public void write(CommitPriority priority, MachineRecord machine, Consumer<TransactionResult> callback) {
        edit(priority, machine.id(), Optional.of(machine), callback);
    }

    /** Removes the record of a machine that is known to no longer exist. */
    public void remove(String machineId, Consumer<TransactionResult> callback) {
        edit(CommitPriority.MAINTENANCE, machineId, Optional.empty(), callback);
    }

    private void edit(
            CommitPriority priority,
            String machineId,
            Optional<MachineRecord> machine,
            Consumer<TransactionResult> callback) {
        String key = Keys.machinePage(machineId);
        if (commitQueue.isLocked(key)) {
            callback.accept(
                    new TransactionResult.Refused(0, "the page of machine " + machineId + " is already being written"));
            return;
        }
        long revision = replica.modRevision(key);
        MachinePageEdit edit = pendingEdits.computeIfAbsent(key, page -> new MachinePageEdit(revision));
        if (edit.baseRevision() != revision || edit.changes(machineId)) {
            callback.accept(new TransactionResult.Conflict(Set.of(key)));
            return;
        }
        edit.add(priority, machineId, machine, callback);
        scheduleFlush();
    }

    private void scheduleFlush() {
        if (!flushTimerPending) {
            flushTimerPending = true;
            timeSource.schedule(BATCH_DELAY, this::flush);
        }
    }

    private void flush() {
        flushTimerPending = false;
        var edits = new LinkedHashMap<>(pendingEdits);
        pendingEdits.clear();
        edits.forEach(this::propose);
    }

    private void propose(String key, MachinePageEdit edit) {
        if (replica.modRevision(key) != edit.baseRevision() || commitQueue.isLocked(key)) {
            edit.complete(new TransactionResult.Conflict(Set.of(key)));
        } else {
            commitQueue.propose(edit.priority(), replica.rewriteMachinePage(key, edit.changes()), edit::complete);
        }
    }
}
