package org.dunespindle.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.time.TimeSource;

/**
 * Cuts job records that are longer than a value may become, one at a time and only while nothing else waits to be written. It
 * saves work later: whoever changes such a record cuts it anyway.
 */
public final class OversizeRecordSplitter {
    private static final Duration LOOK_EVERY = Duration.ofMillis(500);

    private final StateReplica replica;
    private final JobRecordWriter jobWriter;
    private final CommitQueue commitQueue;
    private final StateStoreClient stateStore;
    private final TimeSource timeSource;
    /** Stamps of records that were looked at: measuring one costs as much as writing it out. */
    private final Map<String, Long> checked = new HashMap<>();

    private Duration lookAgainAt = Duration.ZERO;

    public OversizeRecordSplitter(ControllerContext context, CommitQueue commitQueue, StateStoreClient stateStore) {
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.timeSource = context.timeSource();
        this.commitQueue = commitQueue;
        this.stateStore = stateStore;
    }

    /** The leader's part. */
    public void tick() {
        Duration now = timeSource.now();
        if (now.compareTo(lookAgainAt) < 0 || commitQueue.waiting() > 0) {
            return;
        }
        lookAgainAt = now.plus(LOOK_EVERY);
        checked.keySet().removeIf(id -> replica.job(id).flatMap(JobRecord::spec).isEmpty());
        for (JobRecord job : replica.activeJobs()) {
            String key = Keys.job(job.id());
            Long stamp = replica.modRevision(key);
            if (stamp.equals(checked.get(job.id())) || commitQueue.isLocked(key)) {
                continue;
            }
            if (!jobWriter.isOversize(job)) {
                checked.put(job.id(), stamp);
                continue;
            }
            Transaction transaction = jobWriter.write(new Transaction(), job);
            if (!stateStore.writes().isShortOf(transaction.changeCount())) {
                commitQueue.propose(CommitPriority.MAINTENANCE, transaction, result -> {});
            }
            return;
        }
    }
}
