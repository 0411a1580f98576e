package org.dunespindle.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;

/**
 * Changes to machines' records, gathered for a moment: machines that share a page then change in one
 * write. Each change rests on the record as read when it was asked for; if the page has changed since,
 * all of it is dropped and decided anew.
 */
public final class MachineRecordWriter {
    private static final int MOST_WAITING = 6;
    private static final Duration GATHER = Duration.ofMillis(2);
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final TimeSource timeSource;
    private final Map<String, Edit> open = new LinkedHashMap<>();
    private boolean timerSet;

    private static final class Edit {
        final long stamp;
        final Map<String, Optional<MachineRecord>> changes = new HashMap<>();
        final List<Consumer<TransactionResult>> then = new ArrayList<>();
        CommitPriority lane = CommitPriority.MAINTENANCE;

        Edit(long stamp) {
            this.stamp = stamp;
        }
    }

    /** Creates a writer of machine records. */
    public MachineRecordWriter(StateReplica replica, CommitQueue commitQueue, TimeSource timeSource) {
        this.replica = replica;
        this.commitQueue = commitQueue;
        this.timeSource = timeSource;
    }

    /** Whether a change to this machine is under way, or to one that shares its page. */
    public boolean busy(String host) {
        String key = Keys.machinePage(host);
        return commitQueue.isLocked(key)
                || open.containsKey(key) && open.get(key).changes.containsKey(host);
    }

    /** Whether what can wait would only queue now, and lock pages meanwhile. */
    public boolean crowded() {
        return commitQueue.waiting() >= MOST_WAITING;
    }

    /** Writes a machine's new record. */
    public void change(CommitPriority lane, MachineRecord to, Consumer<TransactionResult> then) {
        edit(lane, to.id(), Optional.of(to), then);
    }

    /** Drops the record of a machine that is proven gone. */
    public void remove(String host, Consumer<TransactionResult> then) {
        edit(CommitPriority.MAINTENANCE, host, Optional.empty(), then);
    }

    private void edit(CommitPriority lane, String host, Optional<MachineRecord> to, Consumer<TransactionResult> then) {
        String key = Keys.machinePage(host);
        if (commitQueue.isLocked(key)) {
            then.accept(new TransactionResult.Refused(0, "another change is under way"));
            return;
        }
        long stamp = replica.modRevision(key);
        Edit edit = open.get(key);
        if (edit != null && (edit.stamp != stamp || edit.changes.containsKey(host))) {
            then.accept(new TransactionResult.Conflict(Set.of(key)));
            return;
        }
        if (edit == null) {
            edit = new Edit(stamp);
            open.put(key, edit);
        }
        edit.changes.put(host, to);
        edit.then.add(then);
        edit.lane = lane.compareTo(edit.lane) < 0 ? lane : edit.lane;
        if (!timerSet) {
            timerSet = true;
            timeSource.schedule(GATHER, this::flush);
        }
    }

    private void flush() {
        timerSet = false;
        var machineWriter = new LinkedHashMap<>(open);
        open.clear();
        machineWriter.forEach((key, edit) -> {
            Consumer<TransactionResult> all = result -> edit.then.forEach(t -> t.accept(result));
            if (replica.modRevision(key) != edit.stamp || commitQueue.isLocked(key)) {
                all.accept(new TransactionResult.Conflict(Set.of(key)));
            } else {
                Transaction transaction = replica.rewrite(key, edit.changes);
                commitQueue.propose(edit.lane, transaction, all);
            }
        });
    }
}
