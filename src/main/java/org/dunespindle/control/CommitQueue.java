package org.dunespindle.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits proposed transactions in order of priority, batched under load. The keys that a proposal writes are locked until its
 * outcome is known, so that this controller never conflicts with itself; preconditions guard against changes by other controllers.
 * Proposals wait in this queue rather than in the write rate limiter, so that users' requests and urgent work overtake maintenance
 * regardless of its backlog.
 */
public final class CommitQueue {
    private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
    private static final int MAX_TRANSACTIONS_IN_FLIGHT = 3;
    /** The number of writes by which users' proposals may overdraw the write rate limiter. */
    private static final int MAX_USER_WRITE_OVERDRAFT = 4;
    /** The number of writes that maintenance leaves in the write rate limiter for more urgent proposals. */
    private static final int MAINTENANCE_WRITE_RESERVE = 2;
    /**
     * The number of changes in a batch while few proposals are pending. Every change of a failed transaction counts against the write
     * rate limit, so batches stay small; the limit of requests is high compared with that of writes.
     */
    private static final int MAX_BATCH_CHANGES_AT_LOW_LOAD = 4;

    private static final int MAX_BATCH_CHANGES_AFTER_CONFLICT = 2;
    private static final int PENDING_PROPOSALS_PER_BATCH_CHANGE = 10;
    private static final Duration SMALL_BATCH_PERIOD_AFTER_CONFLICT = Duration.ofSeconds(2);
    private static final Duration RATE_LIMIT_BACKOFF = Duration.ofMillis(150);
    private final StateStoreClient stateStore;
    private final StateReplica replica;
    private final TimeSource timeSource;
    private final int maxTransactionChanges;
    private final Runnable onSettled;
    private final ProposalQueues pending = new ProposalQueues();
    private final Set<String> lockedKeys = new HashSet<>();
    private final CommitStatistics statistics = new CommitStatistics(LOG);
    private Duration nextSendAt = Duration.ZERO;
    private Duration smallBatchesUntil = Duration.ZERO;
    private int transactionsInFlight;
    private boolean flushTimerPending;

    /**
     * Creates an empty queue.
     *
     * @param maxTransactionChanges the state service's limit of changed keys in one transaction
     * @param onSettled called each time after the callbacks of settled proposals have run
     */
    public CommitQueue(
            StateStoreClient stateStore,
            StateReplica replica,
            TimeSource timeSource,
            int maxTransactionChanges,
            Runnable onSettled) {
        this.stateStore = stateStore;
        this.replica = replica;
        this.timeSource = timeSource;
        this.maxTransactionChanges = maxTransactionChanges;
        this.onSettled = onSettled;
    }

    /** Whether a change of this key is pending or in flight. */
    public boolean isLocked(String key) {
        return lockedKeys.contains(key);
    }

    /** The number of pending proposals. */
    public int pendingCount() {
        return pending.size();
    }

    /** The number of pending proposals of this priority. */
    public int pendingCount(CommitPriority priority) {
        return pending.size(priority);
    }

    /** The number of changes sent in transactions that conflicted with other controllers' changes. */
    public long conflictedChangeCount() {
        return statistics.conflictedChanges();
    }

    /** The number of changes sent so far, of any outcome. */
    public long sentChangeCount() {
        return statistics.sentChanges();
    }

    /** The numbers of changes sent and of conflicts by key type; counted only while debug logging is enabled. */
    public Map<String, Integer> changeCountsByKeyType() {
        return statistics.countsByKeyType();
    }

    /** Proposes a transaction. The keys that it writes are locked until just before the callback runs. */
    public void propose(CommitPriority priority, Transaction transaction, Consumer<TransactionResult> callback) {
        Proposal proposal = Proposal.of(priority, transaction, callback);
        lockedKeys.addAll(proposal.lockedKeys());
        pending.add(proposal);
        flush();
    }

    private void flush() {
        while (transactionsInFlight < MAX_TRANSACTIONS_IN_FLIGHT) {
            Optional<Proposal> next = pending.head();
            if (next.isEmpty()) {
                return;
            }
            Proposal head = next.get();
            Duration delay = delayBeforeSending(head);
            if (!delay.isNegative() && !delay.isZero()) {
                scheduleFlush(delay);
                return;
            }
            if (head.transaction().fits(maxTransactionChanges)) {
                send(pending.removeBatch(maxBatchChanges(head), maxTransactionChanges));
            } else {
                rejectOversized(head);
            }
        }
    }

    private Duration delayBeforeSending(Proposal proposal) {
        Duration backoff = nextSendAt.minus(timeSource.now());
        double requiredWrites = requiredWrites(proposal);
        if (backoff.isNegative() && stateStore.writeLimiter().lacksTokensFor(requiredWrites)) {
            return stateStore.writeLimiter().timeUntil(requiredWrites);
        }
        return backoff;
    }

    /** The number of writes that must be available before a proposal is sent. */
    private static double requiredWrites(Proposal proposal) {
        int changes = proposal.transaction().changeCount();
        return switch (proposal.priority()) {
            case USERS -> -MAX_USER_WRITE_OVERDRAFT;
            case PLACEMENT -> changes;
            case MAINTENANCE -> changes + MAINTENANCE_WRITE_RESERVE;
        };
    }

    /** The limit of a batch: the available writes, or the size of its first proposal, which is not split. */
    private int maxBatchChanges(Proposal head) {
        double affordable =
                Math.min(targetBatchChanges(), stateStore.writeLimiter().available());
        return (int) Math.max(head.transaction().changeCount(), affordable);
    }

    /** The batch size grows with the backlog, except after conflicts with other controllers. */
    private int targetBatchChanges() {
        if (timeSource.now().compareTo(smallBatchesUntil) < 0) {
            return MAX_BATCH_CHANGES_AFTER_CONFLICT;
        }
        return Math.max(MAX_BATCH_CHANGES_AT_LOW_LOAD, pending.size() / PENDING_PROPOSALS_PER_BATCH_CHANGE);
    }

    /** Rejects a proposal above the transaction limit: proposers must split such changes, and it must not block the others. */
    private void rejectOversized(Proposal head) {
        pending.removeHead(head);
        LOG.error(
                "proposal rejected, larger than a transaction may be changes={} preconditions={}",
                head.transaction().changeCount(),
                head.transaction().preconditions().size());
        complete(List.of(head), new TransactionResult.Refused(0, "proposal exceeds the limits of a transaction"));
    }

    private void scheduleFlush(Duration delay) {
        if (flushTimerPending) {
            return;
        }
        flushTimerPending = true;
        timeSource.schedule(delay, () -> {
            flushTimerPending = false;
            flush();
        });
    }

    private void send(ProposalBatch batch) {
        transactionsInFlight++;
        statistics.sent(batch.transaction());
        stateStore.commit(batch.transaction()).thenAccept(result -> settle(batch, result));
    }

    private void settle(ProposalBatch batch, TransactionResult result) {
        transactionsInFlight--;
        if (result instanceof TransactionResult.Applied applied) {
            onApplied(batch, applied);
        } else if (result instanceof TransactionResult.Conflict conflict) {
            onConflict(batch, conflict);
        } else if (result instanceof TransactionResult.Unknown unknown) {
            onUnknown(batch, unknown);
        } else if (result instanceof TransactionResult.Refused refused) {
            onRefused(batch, refused);
        }
        flush();
    }

    private void onApplied(ProposalBatch batch, TransactionResult.Applied applied) {
        replica.applyCommitted(batch.transaction(), applied.revision());
        complete(batch.proposals(), applied);
    }

    /**
     * Completes the proposals whose own preconditions failed, after a refresh of the replica, so that their proposers decide again on
     * current data. The others are retried: one stale proposal must not fail the rest of its batch.
     */
    private void onConflict(ProposalBatch batch, TransactionResult.Conflict conflict) {
        statistics.conflicted(batch.transaction(), conflict.failedKeys());
        smallBatchesUntil = timeSource.now().plus(SMALL_BATCH_PERIOD_AFTER_CONFLICT);
        var stale = new ArrayList<Proposal>();
        var unaffected = new ArrayList<Proposal>();
        for (Proposal proposal : batch.proposals()) {
            boolean isStale = conflict.failedKeys().isEmpty() || proposal.requiresAnyOf(conflict.failedKeys());
            (isStale ? stale : unaffected).add(proposal);
        }
        pending.requeue(unaffected);
        // Callbacks after a conflict run from the last proposal to the first; simulations with a fixed seed depend on
        // it.
        Collections.reverse(stale);
        completeAfterRefresh(stale, conflict);
    }

    /**
     * Completes the proposals after a refresh of the replica, so that their proposers decide again on current data. A late copy of the
     * transaction then fails its preconditions.
     */
    private void onUnknown(ProposalBatch batch, TransactionResult.Unknown unknown) {
        completeAfterRefresh(batch.proposals(), unknown);
    }

    private void onRefused(ProposalBatch batch, TransactionResult.Refused refused) {
        List<Proposal> proposals = batch.proposals();
        if (refused.isPermanent() && proposals.size() > 1) {
            // It is unknown which proposal the service rejects. Sent one by one, all the others succeed.
            pending.requeue(proposals.stream().map(Proposal::asExclusive).toList());
        } else if (refused.isRateLimited()) {
            nextSendAt = timeSource.now().plus(RATE_LIMIT_BACKOFF);
            pending.requeue(proposals);
        } else {
            complete(proposals, refused);
        }
    }

    private void completeAfterRefresh(List<Proposal> proposals, TransactionResult result) {
        replica.refresh(() -> complete(proposals, result), () -> complete(proposals, result));
    }

    private void complete(List<Proposal> proposals, TransactionResult result) {
        for (Proposal proposal : proposals) {
            lockedKeys.removeAll(proposal.lockedKeys());
        }
        for (Proposal proposal : proposals) {
            try {
                proposal.callback().accept(result);
            } catch (RuntimeException e) {
                // A failing callback must not prevent the callbacks of the other proposals.
                LOG.error("callback of a settled proposal failed result={}", result, e);
            }
        }
        onSettled.run();
    }
}
