package org.dunespindle.storage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;

/**
 * Adds job records to transactions in the form that the stored format version and the state store's limits permit: as one
 * value if the record fits, otherwise in chunks, of which only the changed ones are written.
 */
public final class JobRecordWriter {
    /** Changes per transaction that a placement needs besides the job's record: the team's record, and one in reserve. */
    private static final int RESERVED_CHANGES = 2;
    /** The submission may take the maximum value size divided by this; the rest is reserved for the job's progress. */
    private static final int SUBMISSION_DIVISOR = 2;

    private final StateReplica replica;
    private final Settings.State currentLimits;
    private final Settings.State lowestLimits;

    /** Creates a writer for the current and announced limits in the settings. */
    public JobRecordWriter(StateReplica replica, Settings.State limits) {
        this.replica = replica;
        this.currentLimits = limits;
        this.lowestLimits = limits.lowest();
    }

    /** A record in the form to be written. */
    private sealed interface StoredForm {
        record Whole(ObjectNode value) implements StoredForm {}

        record Chunked(ChunkedJobRecordCodec.ChunkedRecord values) implements StoredForm {}
    }

    /** Adds a job's new record to a transaction, with the revision of the previous record as a precondition. */
    public Transaction write(Transaction transaction, JobRecord after) {
        String key = Keys.job(after.id());
        transaction.requireRevision(key, replica.modRevision(key));
        List<String> storedChunks = replica.chunksOf(after.id());
        StoredForm form = storedForm(after);
        if (form instanceof StoredForm.Whole whole) {
            transaction.write(key, whole.value);
            removeChunks(transaction, after.id(), 0, storedChunks.size());
            return transaction;
        }
        ChunkedJobRecordCodec.ChunkedRecord values = ((StoredForm.Chunked) form).values;
        transaction
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT))
                .write(key, values.main());
        writeChangedChunks(transaction, after.id(), values.chunks(), storedChunks);
        removeChunks(transaction, after.id(), values.chunks().size(), storedChunks.size());
        return transaction;
    }

    private static void writeChangedChunks(
            Transaction transaction, String jobId, List<String> chunks, List<String> storedChunks) {
        for (int i = 0; i < chunks.size(); i++) {
            String text = chunks.get(i);
            if (i >= storedChunks.size() || !storedChunks.get(i).equals(text)) {
                transaction.write(Keys.chunk(jobId, i), ChunkedJobRecordCodec.chunkNode(text));
            }
        }
    }

    private static void removeChunks(Transaction transaction, String jobId, int from, int to) {
        for (int i = from; i < to; i++) {
            transaction.remove(Keys.chunk(jobId, i));
        }
    }

    private StoredForm storedForm(JobRecord job) {
        ObjectNode value = job.toNode();
        return needsChunks(job, value)
                ? new StoredForm.Chunked(ChunkedJobRecordCodec.split(job, lowestLimits.valueBytes()))
                : new StoredForm.Whole(value);
    }

    private boolean needsChunks(JobRecord job, ObjectNode value) {
        return chunksAllowed()
                && job.spec().isPresent()
                && MessagePackCodec.jsonSize(value) > lowestLimits.valueBytes();
    }

    private boolean chunksAllowed() {
        return replica.formatVersion() >= FormatVersion.CHUNKED_JOB_RECORDS;
    }

    /** Whether a record that is stored as one value exceeds the lowest announced value size. */
    public boolean isOversize(JobRecord job) {
        return replica.chunksOf(job.id()).isEmpty() && needsChunks(job, job.toNode());
    }

    /** The size in bytes of a record in the form in which it would be written. */
    public int size(JobRecord job) {
        StoredForm form = storedForm(job);
        if (form instanceof StoredForm.Whole whole) {
            return MessagePackCodec.jsonSize(whole.value);
        }
        ChunkedJobRecordCodec.ChunkedRecord values = ((StoredForm.Chunked) form).values;
        int size = MessagePackCodec.jsonSize(values.main());
        for (String text : values.chunks()) {
            size += MessagePackCodec.jsonSize(ChunkedJobRecordCodec.chunkNode(text));
        }
        return size;
    }

    /** The maximum size in bytes of a record after a placement, at most the limit that applied before records could be chunked. */
    public int maxRecordBytes() {
        if (!chunksAllowed()) {
            return lowestLimits.valueBytes();
        }
        int values = Math.max(1, lowestLimits.txnOps() - RESERVED_CHANGES);
        return (int) Math.min(currentLimits.valueBytes(), (long) lowestLimits.valueBytes() * values);
    }

    /** The maximum size in bytes of a new job's record at submission. Announced lower limits do not reduce it. */
    public int maxSubmissionBytes() {
        return currentLimits.valueBytes() / SUBMISSION_DIVISOR;
    }
}
