package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;

/**
 * Reads everything from the state store, page by page. What has been read survives a failure: only the page that failed is
 * requested again by the next attempt.
 */
final class SnapshotLoader {
    private static final int MAX_KEYS_PER_PAGE = 500;

    private final StateStoreClient stateStore;
    private final ChangeLogReader changeLog;
    private final TimeSource timeSource;
    /** What has been read so far, while a load is under way. */
    private Optional<PartialSnapshot> partial = Optional.empty();
    /** Transactions of this process since the load began: pages read before them do not show them. */
    private final List<CommittedTransaction> commits = new ArrayList<>();

    SnapshotLoader(StateStoreClient stateStore, ChangeLogReader changeLog, TimeSource timeSource) {
        this.stateStore = stateStore;
        this.changeLog = changeLog;
        this.timeSource = timeSource;
    }

    /** The outcome of one attempt. */
    sealed interface Result {}

    /**
     * Everything was read.
     *
     * @param entries entries of all pages, then the changes from the log if it was read too
     * @param commits transactions of this process that the entries may not show
     * @param revision the revision that the entries reach
     * @param asOf when the read that reached this revision began
     * @param caughtUp whether the log was read too; else changes made while the pages were read are still missing
     */
    record Loaded(
            List<StateMessages.Entry> entries,
            List<CommittedTransaction> commits,
            long revision,
            Duration asOf,
            boolean caughtUp)
            implements Result {}

    /**
     * The attempt failed.
     *
     * @param storeUnavailable whether the store did not serve a request. That is what an outage looks like, after which
     *     the log may do again.
     */
    record Failed(boolean storeUnavailable) implements Result {}

    /** Everything that has been read so far. */
    private static final class PartialSnapshot {
        private final List<StateMessages.Entry> entries = new ArrayList<>();
        private final Duration begun;
        private String lastKey = "";
        private boolean complete;
        /** Of the first page: pages are read at different revisions, and the log is followed from the first one's. */
        private long revision = -1;

        PartialSnapshot(Duration begun) {
            this.begun = begun;
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

        boolean holdsChunks() {
            return entries.stream().anyMatch(entry -> entry.key().startsWith(Keys.CHUNK));
        }
    }

    /** Records a transaction of this process while a load is under way. */
    void addCommit(CommittedTransaction commit) {
        if (partial.isPresent()) {
            commits.add(commit);
        }
    }

    /** Drops what has been read so far, because the log turned out to be enough. */
    void abandon() {
        partial = Optional.empty();
        commits.clear();
    }

    /**
     * Continues the load under way, or begins one.
     *
     * @param now when this attempt begins
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
            } else if (snapshot.holdsChunks()) {
                catchUp(snapshot, onResult);
            } else {
                onResult.accept(finish(snapshot, snapshot.begun, false));
            }
        });
    }

    /**
     * Reads the log since the first page. Chunked records need it up to one revision for all of them: a page may hold the
     * newer chunk of a record whose older chunk was on an earlier page.
     */
    private void catchUp(PartialSnapshot snapshot, Consumer<Result> onResult) {
        Duration begun = timeSource.now();
        changeLog.read(snapshot.revision, result -> {
            if (result instanceof ChangeLogReader.Changes changes) {
                snapshot.add(changes);
                onResult.accept(finish(snapshot, begun, true));
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
        abandon();
        return loaded;
    }
}
