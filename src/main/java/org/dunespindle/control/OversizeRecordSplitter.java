package org.dunespindle.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Splits job records above the size limit of a value into chunks, one record at a time and only while no proposal is pending. This is
 * an optimization: any other change of such a record splits it too.
 */
public final class OversizeRecordSplitter {
    private static final Logger LOG = LoggerFactory.getLogger(OversizeRecordSplitter.class);
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(500);

    private final StateReplica replica;
    private final JobRecordWriter jobWriter;
    private final CommitQueue commitQueue;
    private final StateStoreClient stateStore;
    private final TimeSource timeSource;
    /** Revisions of the records known to fit, by job ID. They are cached because measuring a record costs as much as encoding it. */
    private final Map<String, Long> fittingRevisions = new HashMap<>();

    private Duration nextScanAt = Duration.ZERO;

    /** Creates a splitter that proposes its transactions to a commit queue. */
    public OversizeRecordSplitter(ControllerContext context, CommitQueue commitQueue, StateStoreClient stateStore) {
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.timeSource = context.timeSource();
        this.commitQueue = commitQueue;
        this.stateStore = stateStore;
    }

    /** Splits the first oversize record that it finds; called periodically on the leader. */
    public void tick() {
        Duration now = timeSource.now();
        if (now.compareTo(nextScanAt) < 0 || commitQueue.pendingCount() > 0) {
            return;
        }
        nextScanAt = now.plus(SCAN_INTERVAL);
        fittingRevisions
                .keySet()
                .removeIf(id -> replica.activeJob(id).flatMap(JobRecord::spec).isEmpty());
        findOversizeRecord().ifPresent(this::split);
    }

    private Optional<JobRecord> findOversizeRecord() {
        for (JobRecord job : replica.activeJobs()) {
            String key = Keys.job(job.id());
            Long revision = replica.modRevision(key);
            if (revision.equals(fittingRevisions.get(job.id())) || commitQueue.isLocked(key)) {
                continue;
            }
            if (jobWriter.isOversize(job)) {
                return Optional.of(job);
            }
            fittingRevisions.put(job.id(), revision);
        }
        return Optional.empty();
    }

    private void split(JobRecord job) {
        Transaction transaction = jobWriter.write(new Transaction(), job);
        if (stateStore.writeLimiter().lacksTokensFor(transaction.changeCount())) {
            return;
        }
        commitQueue.propose(CommitPriority.MAINTENANCE, transaction, result -> {
            if (!(result instanceof TransactionResult.Applied)) {
                LOG.debug("oversize record not split, retrying job={} result={}", job.id(), result);
            }
        });
    }
}
