package org.dunespindle.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits proposals, several to a transaction while many wait. A proposal locks what it changes until
 * its outcome is known, so this controller never races itself; others are kept off by the guards.
 * Proposals wait here rather than in the rate budget, so that users' requests and urgent work overtake
 * maintenance however much of that there is.
 */
public final class CommitQueue {
    private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
    private static final int MOST_IN_FLIGHT = 3;
    private static final int USERS_AHEAD = 4;
    private static final int KEPT_BACK = 2;
    /** Changes to a transaction: what fails costs the write rate all of them, and requests are plenty beside writes. */
    private static final int FEW = 4;

    private static final int CAUTIOUS = 2;
    private static final int WIDEN = 10;
    private static final Duration CAUTIOUS_FOR = Duration.ofSeconds(2);
    private static final Duration RATE_PAUSE = Duration.ofMillis(150);
    private final StateStoreClient stateStore;
    private final StateReplica replica;
    private final TimeSource timeSource;
    private final int txnOps;
    private final Map<CommitPriority, ArrayDeque<Proposal>> lanes = new EnumMap<>(CommitPriority.class);
    private final Set<String> locked = new HashSet<>();
    private final Runnable settled;
    private Duration notBefore = Duration.ZERO;
    private Duration cautiousUntil = Duration.ZERO;
    private long conflicts;
    private int inFlight;
    private boolean timerSet;
    private long committed;
    private final Map<String, Integer> kinds = new TreeMap<>();

    /** A change that waits for its turn; one that was refused together with others is sent alone. */
    private record Proposal(
            CommitPriority lane, Set<String> locks, Transaction txn, Consumer<TransactionResult> then, boolean alone) {
        Proposal sentAlone() {
            return new Proposal(lane, locks, txn, then, true);
        }
    }

    /** Creates a committer for transactions of at most so many changes. */
    public CommitQueue(
            StateStoreClient stateStore, StateReplica replica, TimeSource timeSource, int txnOps, Runnable settled) {
        this.stateStore = stateStore;
        this.replica = replica;
        this.timeSource = timeSource;
        this.txnOps = txnOps;
        this.settled = settled;
        for (CommitPriority lane : CommitPriority.values()) {
            lanes.put(lane, new ArrayDeque<>());
        }
    }

    /** Whether a change of this key is queued or under way. */
    public boolean isLocked(String key) {
        return locked.contains(key);
    }

    /** Changes that wait for their turn. */
    public int waiting() {
        return lanes.values().stream().mapToInt(ArrayDeque::size).sum();
    }

    /** Changes of one lane that wait for their turn. */
    public int waiting(CommitPriority lane) {
        return lanes.get(lane).size();
    }

    /** Changes tried in vain, since others had changed the same records. */
    public long conflicts() {
        return conflicts;
    }

    /** Changes committed or tried so far. */
    public long committed() {
        return committed;
    }

    /** Proposes a change; the keys it writes are locked until {@code then} has run. */
    public void propose(CommitPriority lane, Transaction transaction, Consumer<TransactionResult> then) {
        var locks = Set.copyOf(transaction.changes().keySet());
        locked.addAll(locks);
        lanes.get(lane).addLast(new Proposal(lane, locks, transaction, then, false));
        flush();
    }

    /** Changes and conflicts so far by kind of key, counted while debugging. */
    public Map<String, Integer> kinds() {
        return kinds;
    }

    private static String kind(String key) {
        int first = key.indexOf('/');
        int second = key.indexOf('/', first + 1);
        return second < 0 ? key.substring(first + 1) : key.substring(first + 1, second);
    }

    private Proposal head() {
        for (ArrayDeque<Proposal> lane : lanes.values()) {
            if (!lane.isEmpty()) {
                return lane.peekFirst();
            }
        }
        return null;
    }

    private void flush() {
        Proposal head;
        while (inFlight < MOST_IN_FLIGHT && (head = head()) != null) {
            Duration pause = notBefore.minus(timeSource.now());
            int cost = head.txn.changeCount();
            // What users wait for may be paid off afterwards; the rest waits until it is paid for, maintenance until
            // some is left over.
            double wanted = head.lane == CommitPriority.USERS
                    ? -USERS_AHEAD
                    : cost + (head.lane == CommitPriority.MAINTENANCE ? KEPT_BACK : 0);
            if (pause.isNegative() && stateStore.writes().isShortOf(wanted)) {
                pause = stateStore.writes().timeUntil(wanted);
            }
            if (!pause.isNegative() && !pause.isZero()) {
                later(pause);
                return;
            }
            if (!head.txn.fits(txnOps)) {
                // Proposers split what is too large; one that did not must at least not hold up the others.
                lanes.get(head.lane).pollFirst();
                LOG.error(
                        "a change of {} keys under {} guards is more than a transaction takes",
                        cost,
                        head.txn.preconditions().size());
                finish(List.of(head), new TransactionResult.Refused(0, "more than a transaction takes"));
                continue;
            }
            send(batch(
                    (int) Math.max(cost, Math.min(width(), stateStore.writes().available()))));
        }
    }

    /** Batches widen with the load, but not while others change the same records. */
    private int width() {
        return timeSource.now().compareTo(cautiousUntil) < 0 ? CAUTIOUS : Math.max(FEW, waiting() / WIDEN);
    }

    private List<Proposal> batch(int mostWrites) {
        var batch = new ArrayList<Proposal>();
        var transaction = new Transaction();
        for (ArrayDeque<Proposal> lane : lanes.values()) {
            while (!lane.isEmpty()
                    && (batch.isEmpty() || !batch.get(0).alone && !lane.peekFirst().alone)
                    && (batch.isEmpty()
                            || transaction.changeCount() + lane.peekFirst().txn.changeCount() <= mostWrites)
                    && transaction.tryMerge(lane.peekFirst().txn, txnOps)) {
                batch.add(lane.pollFirst());
            }
        }
        return batch;
    }

    private void send(List<Proposal> batch) {
        var transaction = new Transaction();
        batch.forEach(p -> transaction.tryMerge(p.txn, txnOps));
        inFlight++;
        committed += transaction.changeCount();
        if (LOG.isDebugEnabled()) {
            transaction.changes().keySet().forEach(k -> kinds.merge(kind(k), 1, Integer::sum));
        }
        stateStore.commit(transaction).thenAccept(result -> settle(batch, transaction, result));
    }

    private void later(Duration pause) {
        if (!timerSet) {
            timerSet = true;
            timeSource.schedule(pause, () -> {
                timerSet = false;
                flush();
            });
        }
    }

    private void settle(List<Proposal> batch, Transaction transaction, TransactionResult result) {
        inFlight--;
        if (result instanceof TransactionResult.Applied applied) {
            replica.applyCommitted(transaction, applied.revision());
            finish(batch, result);
        } else if (result instanceof TransactionResult.Conflict conflict) {
            conflicts += transaction.changeCount();
            cautiousUntil = timeSource.now().plus(CAUTIOUS_FOR);
            if (LOG.isDebugEnabled()) {
                conflict.failed().forEach(k -> kinds.merge("conflict " + kind(k), 1, Integer::sum));
            }
            // One stale proposal must not sink its neighbours: only those whose guards failed are decided anew.
            var stale = new ArrayList<Proposal>();
            for (int i = batch.size() - 1; i >= 0; i--) {
                Proposal p = batch.get(i);
                if (conflict.failed().isEmpty()
                        || p.txn.preconditions().keySet().stream().anyMatch(conflict.failed()::contains)) {
                    stale.add(p);
                } else {
                    lanes.get(p.lane).addFirst(p);
                }
            }
            replica.refresh(() -> finish(stale, result), () -> finish(stale, result));
        } else if (result instanceof TransactionResult.Unknown) {
            // Decide again only on what the store says now. A late copy fails its guards or shows in the log.
            replica.refresh(() -> finish(batch, result), () -> finish(batch, result));
        } else if (result instanceof TransactionResult.Refused refused && refused.asItIs() && batch.size() > 1) {
            // One that the service does not take must not sink the others, nor be lost among them: each is sent alone.
            for (int i = batch.size() - 1; i >= 0; i--) {
                lanes.get(batch.get(i).lane).addFirst(batch.get(i).sentAlone());
            }
        } else if (result instanceof TransactionResult.Refused refused && refused.tooMany()) {
            notBefore = timeSource.now().plus(RATE_PAUSE);
            for (int i = batch.size() - 1; i >= 0; i--) {
                lanes.get(batch.get(i).lane).addFirst(batch.get(i));
            }
        } else {
            finish(batch, result);
        }
        flush();
    }

    private void finish(List<Proposal> batch, TransactionResult result) {
        for (Proposal p : batch) {
            locked.removeAll(p.locks);
        }
        for (Proposal p : batch) {
            try {
                p.then.accept(result);
            } catch (RuntimeException e) {
                // One proposer's mistake must not keep the others from connectivity their outcome.
                LOG.error("what follows a stored change failed", e);
            }
        }
        settled.run();
    }
}
