package org.dunespindle.storage;

import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;

/**
 * Adds job records to transactions in the form that the stored format version and the state service's limits allow: whole
 * while a record fits into one value, else cut into parts, of which only those that changed are written.
 */
public final class JobRecordWriter {
    /** Changes of a transaction that a record being placed leaves: its team's record, and one to spare. */
    private static final int OTHER_CHANGES = 2;

    private final StateReplica replica;
    private final Settings.State now;
    private final Settings.State lowest;

    /** Creates a writer for the limits that the settings name. */
    public JobRecordWriter(StateReplica replica, Settings.State limits) {
        this.replica = replica;
        this.now = limits;
        this.lowest = limits.lowest();
    }

    /** Adds a job's new record to a transaction, guarded by the one that it was made from. */
    public Transaction write(Transaction transaction, JobRecord after) {
        String key = Keys.job(after.id());
        transaction.requireRevision(key, replica.modRevision(key));
        List<String> stored = replica.partsOf(after.id());
        if (!cuts(after)) {
            transaction.write(key, after.toNode());
            removeFrom(0, stored, transaction, after.id());
            return transaction;
        }
        JobRecordCodec.Cut cut = JobRecordCodec.cut(after, lowest.valueBytes());
        transaction
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT))
                .write(key, cut.main());
        for (int i = 0; i < cut.parts().size(); i++) {
            String text = cut.parts().get(i);
            if (i >= stored.size() || !stored.get(i).equals(text)) {
                transaction.write(Keys.part(after.id(), i), JobRecordCodec.part(text));
            }
        }
        removeFrom(cut.parts().size(), stored, transaction, after.id());
        return transaction;
    }

    private static void removeFrom(int first, List<String> stored, Transaction transaction, String id) {
        for (int i = first; i < stored.size(); i++) {
            transaction.remove(Keys.part(id, i));
        }
    }

    private boolean cuts(JobRecord job) {
        return mayCut() && job.spec().isPresent() && MessagePackCodec.countedSize(job.toNode()) > lowest.valueBytes();
    }

    private boolean mayCut() {
        return replica.formatVersion() >= FormatVersion.JOB_PARTS;
    }

    /** Whether a record, as it is stored now, is longer than a value may become. */
    public boolean isOversize(JobRecord job) {
        return replica.partsOf(job.id()).isEmpty() && cuts(job);
    }

    /** How long a record is in the form in which it would be written. */
    public int size(JobRecord job) {
        if (!cuts(job)) {
            return MessagePackCodec.countedSize(job.toNode());
        }
        JobRecordCodec.Cut cut = JobRecordCodec.cut(job, lowest.valueBytes());
        int size = MessagePackCodec.countedSize(cut.main());
        for (String part : cut.parts()) {
            size += MessagePackCodec.countedSize(JobRecordCodec.part(part));
        }
        return size;
    }

    /** How long a record may become by placing its tasks; never longer than was allowed before records could be cut. */
    public int capacity() {
        if (!mayCut()) {
            return lowest.valueBytes();
        }
        int values = Math.max(1, lowest.txnOps() - OTHER_CHANGES);
        return (int) Math.min(now.valueBytes(), (long) lowest.valueBytes() * values);
    }

    /** How long a new job's record may be for its description to be accepted; the announced limits do not shorten it. */
    public int longestDescription() {
        return now.valueBytes() / 2;
    }
}
