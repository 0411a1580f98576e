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
    private final CommitQueue committer;
    private final StateStoreClient state;
    private final TimeSource timeline;
    /** Stamps of records that were looked at: measuring one costs as much as writing it out. */
    private final Map<String, Long> checked = new HashMap<>();

    private Duration lookAgainAt = Duration.ZERO;

    public OversizeRecordSplitter(ControllerContext context, CommitQueue committer, StateStoreClient state) {
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.timeline = context.timeSource();
        this.committer = committer;
        this.state = state;
    }

    /** The leader's part. */
    public void tick() {
        Duration now = timeline.now();
        if (now.compareTo(lookAgainAt) < 0 || committer.waiting() > 0) {
            return;
        }
        lookAgainAt = now.plus(LOOK_EVERY);
        checked.keySet().removeIf(id -> replica.job(id).flatMap(JobRecord::spec).isEmpty());
        for (JobRecord job : replica.activeJobs()) {
            String key = Keys.job(job.id());
            Long stamp = replica.modRevision(key);
            if (stamp.equals(checked.get(job.id())) || committer.isLocked(key)) {
                continue;
            }
            if (!jobWriter.isOversize(job)) {
                checked.put(job.id(), stamp);
                continue;
            }
            Transaction txn = jobWriter.write(new Transaction(), job);
            if (!state.writes().isShortOf(txn.changeCount())) {
                committer.propose(CommitPriority.MAINTENANCE, txn, r -> {});
            }
            return;
        }
    }
}
