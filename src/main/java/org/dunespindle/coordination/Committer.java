package org.dunespindle.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.StateClient;
import org.dunespindle.bookkeeping.Txn;
import org.dunespindle.bookkeeping.TxnResult;

/**
 * Commits proposals, several to a transaction while many wait. A proposal locks what it changes until
 * its outcome is known, so this controller never races itself; others are kept off by the guards.
 */
public final class Committer {
    private static final int MOST_IN_FLIGHT = 3;
    private final StateClient state;
    private final Replica replica;
    private final int txnOps;
    private final ArrayDeque<Proposal> queue = new ArrayDeque<>();
    private final Set<String> locked = new HashSet<>();
    private final Runnable settled;
    private int inFlight;
    private int width = 1;

    private record Proposal(Set<String> locks, Txn txn, Consumer<TxnResult> then) {}

    public Committer(StateClient state, Replica replica, int txnOps, Runnable settled) {
        this.state = state;
        this.replica = replica;
        this.txnOps = txnOps;
        this.settled = settled;
    }

    public boolean isLocked(String key) {
        return locked.contains(key);
    }

    /** Proposals that may share a transaction at present. */
    public int width() {
        return width;
    }

    /** Proposes a change; the keys it writes are locked until {@code then} has run. */
    public void propose(Txn txn, Consumer<TxnResult> then) {
        var locks = Set.copyOf(txn.changes().keySet());
        locked.addAll(locks);
        queue.addLast(new Proposal(locks, txn, then));
        flush();
    }

    private void flush() {
        while (inFlight < MOST_IN_FLIGHT && !queue.isEmpty()) {
            var batch = new ArrayList<Proposal>();
            var txn = new Txn();
            while (!queue.isEmpty() && batch.size() < width && txn.absorb(queue.peekFirst().txn, txnOps)) {
                batch.add(queue.pollFirst());
            }
            if (batch.isEmpty()) {
                Proposal tooLarge = queue.pollFirst();
                finish(List.of(tooLarge), new TxnResult.Refused(0, "more changes than a transaction takes"));
                continue;
            }
            inFlight++;
            state.commit(txn).thenAccept(result -> settle(batch, txn, result));
        }
        // What is left over waits for a free slot; the next batch takes more of it.
        width = queue.isEmpty() ? Math.max(1, width / 2) : Math.min(txnOps, width * 2);
    }

    private void settle(List<Proposal> batch, Txn txn, TxnResult result) {
        inFlight--;
        if (result instanceof TxnResult.Applied applied) {
            replica.adopt(txn, applied.revision());
            finish(batch, result);
        } else if (result instanceof TxnResult.Conflict && batch.size() > 1) {
            // One stale proposal must not sink its neighbours: each is tried alone.
            width = 1;
            for (int i = batch.size() - 1; i >= 0; i--) {
                queue.addFirst(batch.get(i));
            }
        } else if (result instanceof TxnResult.Conflict || result instanceof TxnResult.Unknown) {
            // Decide again only on what the store says now. A late copy of an unknown one fails its guards or shows in the log.
            replica.refresh(() -> finish(batch, result), () -> finish(batch, result));
        } else {
            finish(batch, result);
        }
        flush();
    }

    private void finish(List<Proposal> batch, TxnResult result) {
        for (Proposal p : batch) {
            locked.removeAll(p.locks);
        }
        for (Proposal p : batch) {
            p.then.accept(result);
        }
        settled.run();
    }
}
