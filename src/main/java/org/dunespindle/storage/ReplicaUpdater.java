package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a replica current: loads a snapshot, then follows the change log, and loads a snapshot again where the log does not
 * serve. At most one read is under way; whoever asks for a refresh meanwhile waits for the next one.
 */
final class ReplicaUpdater {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaUpdater.class);
    /** After so many unanswered reads in a row the log may be too long to arrive in time, so that a snapshot is tried. */
    private static final int MAX_UNANSWERED_LOG_READS = 3;
    /** The staleness of a replica that holds nothing yet. */
    private static final Duration STALENESS_BEFORE_FIRST_LOAD = Duration.ofDays(1);

    private final TimeSource timeSource;
    private final Duration interval;
    private final ReplicaIndex index;
    private final Runnable onChange;
    private final ChangeLogReader changeLog;
    private final SnapshotLoader snapshotLoader;

    private long appliedRevision = -1;
    /** When the last successful read began. */
    private Duration asOf = Duration.ZERO;

    private boolean reading;
    private boolean timerSet;
    private int unansweredLogReads;
    /** Whether a snapshot is needed although there has been one. */
    private boolean logLost;

    private List<Waiter> waiters = new ArrayList<>();

    /** Someone who waits for a read that begins after the request. */
    private record Waiter(Runnable served, Runnable failed) {}

    ReplicaUpdater(
            StateStoreClient stateStore,
            TimeSource timeSource,
            Duration interval,
            ReplicaIndex index,
            Runnable onChange) {
        this.timeSource = timeSource;
        this.interval = interval;
        this.index = index;
        this.onChange = onChange;
        this.changeLog = new ChangeLogReader(stateStore);
        this.snapshotLoader = new SnapshotLoader(stateStore, changeLog, timeSource);
    }

    /** Begins to read, and keeps reading at the interval. */
    void start() {
        read();
    }

    /** Whether everything has been read at least once. */
    boolean loaded() {
        return appliedRevision >= 0;
    }

    /** The revision up to which every change has been applied. */
    long appliedRevision() {
        return appliedRevision;
    }

    /** The time since the last successful read began. */
    Duration staleness() {
        return loaded() ? timeSource.now().minus(asOf) : STALENESS_BEFORE_FIRST_LOAD;
    }

    /** Runs {@code served} once a read that begins after this call was applied, or {@code failed} if it failed. */
    void refresh(Runnable served, Runnable failed) {
        waiters.add(new Waiter(served, failed));
        if (!reading) {
            read();
        }
    }

    /** Applies a transaction of this process. */
    void applyCommitted(CommittedTransaction commit) {
        snapshotLoader.addCommit(commit);
        index.apply(commit);
        onChange.run();
    }

    private void read() {
        reading = true;
        List<Waiter> waitersOfRead = waiters;
        waiters = new ArrayList<>();
        if (!loaded() || logLost || unansweredLogReads >= MAX_UNANSWERED_LOG_READS) {
            loadSnapshot(waitersOfRead);
        } else {
            followLog(waitersOfRead);
        }
    }

    private void followLog(List<Waiter> waitersOfRead) {
        Duration begun = timeSource.now();
        changeLog.read(appliedRevision, result -> {
            if (result instanceof ChangeLogReader.Changes changes) {
                applyLog(changes.log(), begun);
                finishRead(waitersOfRead, true);
            } else {
                onLogFailure((ChangeLogReader.Failure) result);
                finishRead(waitersOfRead, false);
            }
        });
    }

    private void applyLog(StateMessages.Entries log, Duration begun) {
        index.apply(log.entries());
        appliedRevision = Math.max(appliedRevision, log.revision());
        asOf = begun;
        unansweredLogReads = 0;
        snapshotLoader.abandon();
        if (!log.entries().isEmpty()) {
            onChange.run();
        }
    }

    /**
     * A log that cannot be applied must not be requested for ever: after a long partition it may hold thousands of changes,
     * and only grows. A single unanswered read proves nothing about the log; several in a row may be due to its length.
     */
    private void onLogFailure(ChangeLogReader.Failure failure) {
        if (failure.isPermanent()) {
            LOG.info("change log lost, reloading snapshot revision={} reason={}", appliedRevision, failure);
            logLost = true;
        } else if (failure == ChangeLogReader.Failure.UNANSWERED) {
            unansweredLogReads++;
        }
    }

    private void loadSnapshot(List<Waiter> waitersOfRead) {
        snapshotLoader.load(timeSource.now(), result -> {
            if (result instanceof SnapshotLoader.Loaded snapshot) {
                install(snapshot);
                finishLoad(waitersOfRead, snapshot.caughtUp());
                return;
            }
            if (((SnapshotLoader.Failed) result).storeUnavailable()) {
                unansweredLogReads = 0; // the log was not to blame, and is tried again if it may still serve
            }
            finishRead(waitersOfRead, false);
        });
    }

    private void install(SnapshotLoader.Loaded snapshot) {
        logLost = false;
        unansweredLogReads = 0;
        index.replaceAll(snapshot.entries(), snapshot.commits());
        appliedRevision = snapshot.revision();
        asOf = snapshot.asOf();
        onChange.run();
    }

    private void finishLoad(List<Waiter> waitersOfRead, boolean caughtUp) {
        if (caughtUp) {
            finishRead(waitersOfRead, true);
            return;
        }
        // What changed while the pages were read is in the log: whoever waits is served from there.
        waiters.addAll(0, waitersOfRead);
        finishRead(List.of(), true);
    }

    private void finishRead(List<Waiter> waitersOfRead, boolean successful) {
        reading = false;
        for (Waiter waiter : waitersOfRead) {
            (successful ? waiter.served : waiter.failed).run();
        }
        // A waiter may have started the next read already.
        if (!reading && successful && !waiters.isEmpty()) {
            read();
        } else {
            scheduleRead();
        }
    }

    private void scheduleRead() {
        if (timerSet) {
            return;
        }
        timerSet = true;
        timeSource.schedule(interval, () -> {
            timerSet = false;
            if (!reading) {
                read();
            }
        });
    }
}
