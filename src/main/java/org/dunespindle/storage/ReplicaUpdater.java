package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates a replica: loads a snapshot, then follows the change log, and loads a new snapshot if the log is unavailable. At most
 * one read is in progress; a refresh requested meanwhile is served by the next read.
 */
final class ReplicaUpdater {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaUpdater.class);
    /** After this many consecutive timeouts the log may be too long to arrive in time, so a snapshot is loaded instead. */
    private static final int MAX_UNANSWERED_LOG_READS = 3;
    /** The staleness reported before the first load. */
    private static final Duration STALENESS_BEFORE_FIRST_LOAD = Duration.ofDays(1);

    private final TimeSource timeSource;
    private final Duration interval;
    private final Runnable onChange;
    private final ChangeLogReader changeLog;
    private final SnapshotLoader snapshotLoader;

    private ReplicaIndex index = new ReplicaIndex();
    private long appliedRevision = -1;
    /** When the last successful read started. */
    private Duration asOf = Duration.ZERO;

    private boolean reading;
    private boolean readScheduled;
    private int unansweredLogReads;
    /** Whether the log can no longer be followed, so that another snapshot is needed. */
    private boolean logLost;

    private List<PendingRefresh> pendingRefreshes = new ArrayList<>();

    /** The callbacks of a refresh, to be served by a read that starts after it was requested. */
    private record PendingRefresh(Runnable onSuccess, Runnable onFailure) {}

    ReplicaUpdater(StateStoreClient stateStore, TimeSource timeSource, Duration interval, Runnable onChange) {
        this.timeSource = timeSource;
        this.interval = interval;
        this.onChange = onChange;
        this.changeLog = new ChangeLogReader(stateStore);
        this.snapshotLoader = new SnapshotLoader(stateStore, changeLog, timeSource, () -> index.successor());
    }

    /** Starts the first read; later reads follow at the interval. */
    void start() {
        read();
    }

    /** The current contents; they are replaced when the stored state has been read again. */
    ReplicaIndex index() {
        return index;
    }

    /** Whether a snapshot has been loaded. */
    boolean loaded() {
        return appliedRevision >= 0;
    }

    /** The revision up to which every change has been applied. */
    long appliedRevision() {
        return appliedRevision;
    }

    /** The start of the last successful read: every change committed before is applied. */
    Duration asOf() {
        return asOf;
    }

    /** The time since the start of the last successful read. */
    Duration staleness() {
        return loaded() ? timeSource.now().minus(asOf) : STALENESS_BEFORE_FIRST_LOAD;
    }

    /** Runs {@code onSuccess} once a read that starts after this call has been applied, or {@code onFailure} if that read fails. */
    void refresh(Runnable onSuccess, Runnable onFailure) {
        pendingRefreshes.add(new PendingRefresh(onSuccess, onFailure));
        if (!reading) {
            read();
        }
    }

    /** Applies a transaction that this process committed. */
    void applyCommitted(CommittedTransaction commit) {
        snapshotLoader.addCommit(commit);
        index.apply(commit);
        onChange.run();
    }

    private void read() {
        reading = true;
        List<PendingRefresh> refreshes = pendingRefreshes;
        pendingRefreshes = new ArrayList<>();
        if (!loaded() || logLost || unansweredLogReads >= MAX_UNANSWERED_LOG_READS) {
            loadSnapshot(refreshes);
        } else {
            followLog(refreshes);
        }
    }

    private void followLog(List<PendingRefresh> refreshes) {
        Duration startedAt = timeSource.now();
        changeLog.read(appliedRevision, result -> {
            if (result instanceof ChangeLogReader.Changes changes) {
                applyLog(changes.log(), startedAt);
                finishRead(refreshes, true);
            } else {
                onLogFailure((ChangeLogReader.Failure) result);
                finishRead(refreshes, false);
            }
        });
    }

    private void applyLog(StateMessages.Entries log, Duration startedAt) {
        index.apply(log.entries());
        appliedRevision = Math.max(appliedRevision, log.revision());
        index.advance(appliedRevision);
        asOf = startedAt;
        unansweredLogReads = 0;
        snapshotLoader.discard();
        if (!log.entries().isEmpty()) {
            onChange.run();
        }
    }

    /**
     * Falls back to a snapshot if the log cannot be applied: after a long network partition it may contain thousands of changes,
     * and it only grows, so retries would fail indefinitely. A single timeout is not evidence of that, but several consecutive
     * timeouts may be due to the log's length.
     */
    private void onLogFailure(ChangeLogReader.Failure failure) {
        if (failure.isPermanent()) {
            LOG.info("change log lost, reloading snapshot revision={} reason={}", appliedRevision, failure);
            logLost = true;
        } else if (failure == ChangeLogReader.Failure.UNANSWERED) {
            unansweredLogReads++;
        }
    }

    private void loadSnapshot(List<PendingRefresh> refreshes) {
        snapshotLoader.load(timeSource.now(), result -> {
            if (result instanceof SnapshotLoader.Loaded snapshot) {
                install(snapshot);
                finishSnapshot(refreshes, snapshot.caughtUp());
                return;
            }
            if (((SnapshotLoader.Failed) result).storeUnavailable()) {
                unansweredLogReads = 0; // the timeouts were due to an outage: retry the log unless it is lost
            }
            finishRead(refreshes, false);
        });
    }

    private void install(SnapshotLoader.Loaded snapshot) {
        logLost = false;
        unansweredLogReads = 0;
        ReplicaIndex loaded = snapshot.index();
        loaded.replace(index);
        index = loaded;
        appliedRevision = snapshot.revision();
        asOf = snapshot.asOf();
        onChange.run();
    }

    private void finishSnapshot(List<PendingRefresh> refreshes, boolean caughtUp) {
        if (caughtUp) {
            finishRead(refreshes, true);
            return;
        }
        // Changes made while the pages were read are still missing, so the refreshes are served by a read of the log.
        pendingRefreshes.addAll(0, refreshes);
        finishRead(List.of(), true);
    }

    private void finishRead(List<PendingRefresh> refreshes, boolean successful) {
        reading = false;
        for (PendingRefresh refresh : refreshes) {
            (successful ? refresh.onSuccess : refresh.onFailure).run();
        }
        // A callback may have started the next read already.
        if (!reading && successful && !pendingRefreshes.isEmpty()) {
            read();
        } else {
            scheduleRead();
        }
    }

    private void scheduleRead() {
        if (readScheduled) {
            return;
        }
        readScheduled = true;
        timeSource.schedule(interval, () -> {
            readScheduled = false;
            if (!reading) {
                read();
            }
        });
    }
}
