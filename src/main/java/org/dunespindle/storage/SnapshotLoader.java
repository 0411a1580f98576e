package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;

/**
 * Reads the complete state store page by page. A failure keeps the pages read so far; the next attempt continues with the page
 * that failed.
 */
final class SnapshotLoader {
    private static final int MAX_KEYS_PER_PAGE = 500;

    private final StateStoreClient stateStore;
    private final ChangeLogReader changeLog;
    private final TimeSource timeSource;
    /** The pages read so far; empty while no load is in progress. */
    private Optional<PartialSnapshot> partial = Optional.empty();
    /** Transactions of this process since the load started, which pages read before them lack. */
    private final List<CommittedTransaction> commits = new ArrayList<>();

    SnapshotLoader(StateStoreClient stateStore, ChangeLogReader changeLog, TimeSource timeSource) {
        this.stateStore = stateStore;
        this.changeLog = changeLog;
        this.timeSource = timeSource;
    }

    /** The outcome of one attempt. */
    sealed interface Result {}

    /**
     * A complete snapshot.
     *
     * @param entries entries of all pages, followed by the changes from the log if it was read too
     * @param commits transactions of this process that the entries may lack
     * @param revision the revision up to which the entries are complete
     * @param asOf when the read that reached this revision started
     * @param caughtUp whether the log was read too; otherwise changes made while the pages were read are still missing
     */
    record Loaded(
            List<StateMessages.Entry> entries,
            List<CommittedTransaction> commits,
            long revision,
            Duration asOf,
            boolean caughtUp)
            implements Result {}

    /**
     * A failed attempt.
     *
     * @param storeUnavailable false if the log was malformed; otherwise the cause may be an outage, after which the log may
     *     be usable again
     */
    record Failed(boolean storeUnavailable) implements Result {}

    /** The entries read so far. */
    private static final class PartialSnapshot {
        private final List<StateMessages.Entry> entries = new ArrayList<>();
        private final Duration startedAt;
        private String lastKey = "";
        private boolean complete;
        /** The revision of the first page. Pages are read at different revisions, so the log is followed from the first one. */
        private long revision = -1;

        PartialSnapshot(Duration startedAt) {
            this.startedAt = startedAt;
        }

        void add(StateMessages.Entries page) {
            entries.addAll(page.entries());
            revision = revision < 0 ? page.revision() : revision;
            complete = !page.more() || page.entries().isEmpty();
            if (!complete) {
                lastKey = page.entries().get(page.entries().size() - 1).key();
            }
        }

        void add(ChangeLogReader.Changes changes) {
            entries.addAll(changes.log().entries());
            revision = Math.max(revision, changes.log().revision());
        }

        boolean containsChunks() {
            return entries.stream().anyMatch(entry -> entry.key().startsWith(Keys.CHUNK));
        }
    }

    /** Records a transaction of this process if a load is in progress. */
    void addCommit(CommittedTransaction commit) {
        if (partial.isPresent()) {
            commits.add(commit);
        }
    }

    /** Discards the pages read so far, after the log was read successfully or the load is complete. */
    void discard() {
        partial = Optional.empty();
        commits.clear();
    }

    /**
     * Continues the load in progress, or starts one.
     *
     * @param now the start of this attempt
     */
    void load(Duration now, Consumer<Result> onResult) {
        PartialSnapshot snapshot = partial.orElseGet(() -> new PartialSnapshot(now));
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
            } else if (snapshot.containsChunks()) {
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
        var loaded = new Loaded(snapshot.entries, List.copyOf(commits), snapshot.revision, asOf, caughtUp);
        discard();
        return loaded;
    }
}
