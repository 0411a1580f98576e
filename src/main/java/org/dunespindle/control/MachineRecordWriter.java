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
 * Writes machines' records. Records that share a page are changed by one write, so changes are gathered for a moment first. Each
 * change is based on the page as it was read when the change was requested; if the page has been written since, all of
 * its changes fail with a conflict and have to be decided anew.
 */
public final class MachineRecordWriter {
    /** Pending proposals from which on changes that can wait should wait. */
    private static final int MAX_PENDING_PROPOSALS = 6;

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

    /** Whether so much is pending that a change which can wait would only lock its page meanwhile. */
    public boolean isBacklogged() {
        return commitQueue.pendingCount() >= MAX_PENDING_PROPOSALS;
    }

    /** Writes a machine's record. */
    public void write(CommitPriority priority, MachineRecord machine, Consumer<TransactionResult> callback) {
        edit(priority, machine.id(), Optional.of(machine), callback);
    }

    /** Removes the record of a machine that is known not to exist any more. */
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
            callback.accept(new TransactionResult.Refused(0, "another change is under way"));
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
