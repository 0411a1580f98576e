package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.protocol.Submission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds jobs in the replica and, if they may have ended and are no longer in memory, under their keys in the state store. One read serves
 * all who look for the same job; the number of reads that wait is limited.
 */
final class JobLookup {
    private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);
    private static final int MAX_CACHED_JOBS = 2000;

    private final StateStoreClient stateStore;
    private final ReplicaUpdater updater;
    private final EndedJobCache cache = new EndedJobCache(MAX_CACHED_JOBS);
    private final Map<String, PendingRead> pendingReads = new HashMap<>();
    private long cacheHits;
    private long reads;
    private long failedReads;
    private long refusedReads;

    /** A read in progress and who waits for it. */
    private static final class PendingRead {
        private final List<Consumer<JobLookupResult>> waiting = new ArrayList<>(1);
        /** The replica's revision when the last one began to wait. That the store had no such key earlier proves nothing to them. */
        private long requiredRevision;
    }

    JobLookup(StateStoreClient stateStore, ReplicaUpdater updater) {
        this.stateStore = stateStore;
        this.updater = updater;
    }

    /** A job's record if it is in memory. */
    Optional<JobRecord> inMemory(String id) {
        return updater.index().jobs().retained(id).or(() -> cache.get(id));
    }

    /** Finds a job in a state at least as new as this call. */
    void find(String id, Consumer<JobLookupResult> onResult) {
        Optional<JobRecord> ended = inMemory(id)
                .filter(job -> !job.isOpen() && job.inboundDelegation().isEmpty());
        if (ended.isPresent()) {
            onResult.accept(new JobLookupResult.Found(ended.get())); // it never changes again
        } else {
            updater.refresh(
                    () -> findAfterRefresh(id, onResult), () -> onResult.accept(new JobLookupResult.Unavailable()));
        }
    }

    /** Finds a job in a state at least as new as the replica. */
    void findAfterRefresh(String id, Consumer<JobLookupResult> onResult) {
        ReplicaIndex index = updater.index();
        Optional<JobRecord> known = inMemory(id);
        if (known.isPresent()) {
            cacheHits += index.jobs().retained(id).isEmpty() ? 1 : 0;
            onResult.accept(new JobLookupResult.Found(known.get()));
        } else if (!updater.loaded() || index.isUnreadable(Keys.job(id))) {
            onResult.accept(new JobLookupResult.Unavailable());
        } else if (!Submission.wellFormedId(id) || !index.jobs().mayHaveEnded(id)) {
            onResult.accept(new JobLookupResult.NeverAccepted());
        } else {
            read(id, onResult);
        }
    }

    /** Reads a job that may have ended, so that it is in memory soon. */
    void prefetch(String id) {
        findAfterRefresh(id, result -> {});
    }

    private void read(String id, Consumer<JobLookupResult> onResult) {
        PendingRead pending = pendingReads.get(id);
        if (pending == null && pendingReads.size() >= stateStore.maxPendingKeyReads()) {
            refusedReads++;
            onResult.accept(new JobLookupResult.Unavailable());
            return;
        }
        boolean isFirst = pending == null;
        PendingRead joined = pendingReads.computeIfAbsent(id, key -> new PendingRead());
        joined.requiredRevision = updater.appliedRevision();
        joined.waiting.add(onResult);
        if (isFirst) {
            reads++;
            stateStore.read(Keys.job(id)).whenComplete((state, failure) -> complete(id, Optional.ofNullable(state)));
        }
    }

    private void complete(String id, Optional<StateMessages.KeyState> state) {
        PendingRead pending = pendingReads.remove(id);
        Optional<JobRecord> known = inMemory(id);
        if (known.isPresent()) {
            answer(pending, new JobLookupResult.Found(known.get()));
        } else if (state.isEmpty()) {
            failedReads++;
            answer(pending, new JobLookupResult.Unavailable());
        } else if (state.get().value().isEmpty()) {
            boolean isProof = state.get().revision() >= pending.requiredRevision;
            answer(pending, isProof ? new JobLookupResult.NeverAccepted() : new JobLookupResult.Unavailable());
        } else {
            completePresent(id, state.get().value().get(), pending);
        }
    }

    private void completePresent(String id, JsonNode value, PendingRead pending) {
        Optional<JobRecord> ended = parseEnded(id, value);
        if (ended.isPresent()) {
            cache.put(ended.get());
            answer(pending, new JobLookupResult.Found(ended.get()));
            return;
        }
        // The record is newer than the replica, which retains all jobs of this kind.
        Runnable answerFromReplica = () -> answer(
                pending,
                inMemory(id)
                        .<JobLookupResult>map(JobLookupResult.Found::new)
                        .orElseGet(JobLookupResult.Unavailable::new));
        updater.refresh(answerFromReplica, answerFromReplica);
    }

    private static Optional<JobRecord> parseEnded(String id, JsonNode value) {
        if (ChunkedJobRecordCodec.isChunked(value)) {
            return Optional.empty();
        }
        try {
            return Optional.of(JobRecordCodec.parse(id, value)).filter(JobIndex::isInStoreOnly);
        } catch (MalformedMessageException | RuntimeException e) {
            LOG.error("stored record is unreadable key={} cause={}", Keys.job(id), e.toString());
            return Optional.empty();
        }
    }

    private static void answer(PendingRead pending, JobLookupResult result) {
        pending.waiting.forEach(onResult -> onResult.accept(result));
    }

    /** What is held in memory, and the reads so far. */
    ReplicaStatistics statistics() {
        ReplicaIndex index = updater.index();
        return new ReplicaStatistics(
                index.jobs().retainedCount() + cache.size(),
                index.revisionCount(),
                index.jobs().cancellations().size(),
                index.jobs().endedCount(),
                cacheHits,
                reads,
                failedReads,
                refusedReads);
    }
}
