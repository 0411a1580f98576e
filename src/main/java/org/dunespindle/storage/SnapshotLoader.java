package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the complete state store page by page into a new index, which retains of each page only what a controller needs in memory. A
 * failure keeps the pages read so far; the next attempt continues with the page that failed.
 */
final class SnapshotLoader {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotLoader.class);
    /** The most that the state service returns at once. */
    private static final int MAX_KEYS_PER_PAGE = 1000;

    private final StateStoreClient stateStore;
    private final ChangeLogReader changeLog;
    private final TimeSource timeSource;
    private final Supplier<ReplicaIndex> newIndex;
    /** The pages read so far; empty while no load is in progress. */
    private Optional<PartialSnapshot> partial = Optional.empty();

    /**
     * Creates a loader.
     *
     * @param newIndex creates the empty index of a load
     */
    SnapshotLoader(
            StateStoreClient stateStore,
            ChangeLogReader changeLog,
            TimeSource timeSource,
            Supplier<ReplicaIndex> newIndex) {
        this.stateStore = stateStore;
        this.changeLog = changeLog;
        this.timeSource = timeSource;
        this.newIndex = newIndex;
    }

    /** The outcome of one attempt. */
    sealed interface Result {}

    /**
     * A complete snapshot.
     *
     * @param index all rows, the transactions of this process since, and the changes from the log if it was read too
     * @param revision the revision up to which the index is complete
     * @param asOf when the read that reached this revision started
     * @param caughtUp whether the log was read too; otherwise changes made while the pages were read are still missing
     */
    record Loaded(ReplicaIndex index, long revision, Duration asOf, boolean caughtUp) implements Result {}

    /**
     * A failed attempt.
     *
     * @param storeUnavailable false if the log was malformed; otherwise the cause may be an outage, after which the log may
     *     be usable again
     */
    record Failed(boolean storeUnavailable) implements Result {}

    /** The rows read so far. */
    private static final class PartialSnapshot {
        private final ReplicaIndex index;
        private final Duration startedAt;
        /** Transactions of this process since the load started, until the revision of the first page is known. */
        private final List<CommittedTransaction> earlyCommits = new ArrayList<>();

        private String lastKey = "";
        private boolean complete;
        private boolean containsChunks;
        /** The revision of the first page. Pages are read at different revisions, so the log is followed from the first one. */
        private long revision = -1;

        private long keyCount;

        PartialSnapshot(ReplicaIndex index, Duration startedAt) {
            this.index = index;
            this.startedAt = startedAt;
        }

        void add(StateMessages.Entries page) {
            if (revision < 0) {
                begin(page.revision());
            }
            index.load(page.entries());
            keyCount += page.entries().size();
            containsChunks |=
                    page.entries().stream().anyMatch(entry -> entry.key().startsWith(Keys.CHUNK));
            complete = !page.more() || page.entries().isEmpty();
            if (!complete) {
                lastKey = page.entries().get(page.entries().size() - 1).key();
            }
        }

        /** All pages are read at the first one's revision or later, so they contain every transaction committed before it. */
        private void begin(long firstRevision) {
            revision = firstRevision;
            index.advance(firstRevision);
            earlyCommits.forEach(index::loadCommit);
            earlyCommits.clear();
        }

        void add(CommittedTransaction commit) {
            if (revision < 0) {
                earlyCommits.add(commit);
            } else {
                index.loadCommit(commit);
            }
        }

        void add(ChangeLogReader.Changes changes) {
            index.loadChanges(changes.log().entries());
            revision = Math.max(revision, changes.log().revision());
            index.advance(revision);
        }
    }

    /** Records a transaction of this process if a load is in progress. */
    void addCommit(CommittedTransaction commit) {
        partial.ifPresent(snapshot -> snapshot.add(commit));
    }

    /** Discards the pages read so far, after the log was read successfully or the load is complete. */
    void discard() {
        partial = Optional.empty();
    }

    /**
     * Continues the load in progress, or starts one.
     *
     * @param now the start of this attempt
     */
    void load(Duration now, Consumer<Result> onResult) {
        PartialSnapshot snapshot = partial.orElseGet(() -> new PartialSnapshot(newIndex.get(), now));
        partial = Optional.of(snapshot);
        if (snapshot.complete) {
            catchUp(snapshot, onResult);
        } else {
            loadNextPage(snapshot, onResult);
        }
    }

    private void loadNextPage(PartialSnapshot snapshot, Consumer<Result> onResult) {
        stateStore.list(Keys.ROOT, snapshot.lastKey, MAX_KEYS_PER_PAGE).whenComplete((page, failure) -> {
            if (failure != null) {
                onResult.accept(new Failed(true));
                return;
            }
            snapshot.add(page);
            if (!snapshot.complete) {
                loadNextPage(snapshot, onResult);
            } else if (snapshot.containsChunks) {
                catchUp(snapshot, onResult);
            } else {
                onResult.accept(finish(snapshot, snapshot.startedAt, false));
            }
        });
    }

    /**
     * Reads the log since the first page, so that all entries are of one revision. Chunked records require that: a page may
     * contain a newer chunk of a record of which an older chunk was on an earlier page.
     */
    private void catchUp(PartialSnapshot snapshot, Consumer<Result> onResult) {
        Duration startedAt = timeSource.now();
        changeLog.read(snapshot.revision, result -> {
            if (result instanceof ChangeLogReader.Changes changes) {
                snapshot.add(changes);
                onResult.accept(finish(snapshot, startedAt, true));
                return;
            }
            var failure = (ChangeLogReader.Failure) result;
            if (failure.isPermanent()) {
                partial = Optional.empty();
            }
            onResult.accept(new Failed(failure != ChangeLogReader.Failure.MALFORMED));
        });
    }

    private Loaded finish(PartialSnapshot snapshot, Duration asOf, boolean caughtUp) {
        discard();
        LOG.info(
                "stored state read revision={} keys={} endedJobs={} retainedJobs={} millis={}",
                snapshot.revision,
                snapshot.keyCount,
                snapshot.index.jobs().endedCount(),
                snapshot.index.jobs().retainedCount(),
                timeSource.now().minus(snapshot.startedAt).toMillis());
        return new Loaded(snapshot.index, snapshot.revision, asOf, caughtUp);
    }
}
