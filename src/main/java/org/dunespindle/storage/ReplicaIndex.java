package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.StateMessages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The replica's contents. Parses the value of each key and stores it in the index for its key prefix. */
final class ReplicaIndex {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaIndex.class);

    private final MachineIndex machines = new MachineIndex();
    private final JobIndex jobs;
    private final ChunkedJobRecords chunkedJobs = new ChunkedJobRecords();
    private final Map<String, JsonNode> members = new TreeMap<>();
    private final Map<String, JsonNode> otherValues = new HashMap<>();
    private final KeyRevisions revisions = new KeyRevisions();
    private final Set<String> unreadableKeys = new HashSet<>();
    private long version;
    private long memberVersion;

    /** Creates an empty index. */
    ReplicaIndex() {
        jobs = new JobIndex(machines::markChanged);
    }

    private ReplicaIndex(ReplicaIndex previous) {
        jobs = previous.jobs.successor(machines::markChanged);
    }

    /** An empty index into which the stored state is read again while this one stays in use. */
    ReplicaIndex successor() {
        return new ReplicaIndex(this);
    }

    JobIndex jobs() {
        return jobs;
    }

    MachineIndex machines() {
        return machines;
    }

    /** The live controllers' membership records by name. */
    Map<String, JsonNode> members() {
        return members;
    }

    /** The value of a key that belongs to no other index. */
    Optional<JsonNode> value(String key) {
        return Optional.ofNullable(otherValues.get(key));
    }

    /** The texts of the chunks of a job's record, in order. */
    List<String> chunksOf(String jobId) {
        return chunkedJobs.chunks(jobId);
    }

    /** The revision of a key's last change; 0 while the key does not exist, and for an ended job that is in the store only. */
    long modRevision(String key) {
        return revisions.of(key);
    }

    /** The number of keys of which a revision is held. */
    int revisionCount() {
        return revisions.size();
    }

    /** Whether a key's value could not be parsed. */
    boolean isUnreadable(String key) {
        return unreadableKeys.contains(key);
    }

    /** A counter that increases with every change applied. */
    long version() {
        return version;
    }

    /** A counter that increases whenever a controller joins or leaves. */
    long memberVersion() {
        return memberVersion;
    }

    /** Applies changes from the log. */
    void apply(List<StateMessages.Entry> entries) {
        loadChanges(entries);
        assembleChunkedJobs();
    }

    /** Applies a transaction that this process committed. */
    void apply(CommittedTransaction commit) {
        putChanges(commit);
        assembleChunkedJobs();
    }

    /** Adds a page of rows to an index that is being loaded. Rows of ended jobs leave nothing behind but their ids in a filter. */
    void load(List<StateMessages.Entry> page) {
        for (StateMessages.Entry row : page) {
            if (!revisions.isOverwritten(row.key(), row.revision())) {
                put(row.key(), row.value(), row.revision());
            }
        }
    }

    /** Applies changes from the log to an index that is being loaded. */
    void loadChanges(List<StateMessages.Entry> entries) {
        entries.forEach(this::putNewer);
    }

    /** Applies a transaction that this process committed to an index that is being loaded. */
    void loadCommit(CommittedTransaction commit) {
        putChanges(commit);
    }

    /** Completes the load and takes the place of another index: whatever was in it counts as changed. */
    void replace(ReplicaIndex previous) {
        assembleChunkedJobs();
        version += previous.version + 1;
        memberVersion += previous.memberVersion + 1;
        previous.machines.drainChanged().forEach(machines::markChanged);
        previous.machines.all().keySet().forEach(machines::markChanged);
        previous.jobs.machinesWithAllocations().forEach(machines::markChanged);
    }

    /** Records that all changes up to a revision are contained. */
    void advance(long revision) {
        revisions.advance(revision);
    }

    private void putChanges(CommittedTransaction commit) {
        commit.transaction()
                .changes()
                .forEach((key, change) -> putNewer(new StateMessages.Entry(key, change.value(), commit.revision())));
    }

    private void putNewer(StateMessages.Entry change) {
        // The log repeats the transactions of this process, which are applied as soon as they are answered.
        if (!revisions.isApplied(change.key(), change.revision())) {
            put(change.key(), change.value(), change.revision());
        }
    }

    private void put(String key, Optional<JsonNode> value, long revision) {
        if (value.isPresent()) {
            revisions.retain(key, revision);
        } else {
            revisions.release(key, revision);
        }
        version++;
        try {
            if (key.startsWith(Keys.JOB)) {
                putJob(key.substring(Keys.JOB.length()), value, revision);
            } else if (key.startsWith(Keys.CHUNK)) {
                chunkedJobs.putChunk(key, value);
            } else if (key.startsWith(Keys.MACHINE_PAGE)) {
                machines.putPage(key, value);
            } else if (key.startsWith(Keys.MEMBER)) {
                putMember(key.substring(Keys.MEMBER.length()), value);
            } else {
                value.ifPresentOrElse(node -> otherValues.put(key, node), () -> otherValues.remove(key));
            }
        } catch (MalformedMessageException | RuntimeException e) {
            markUnreadable(key, e);
        }
    }

    private void putJob(String id, Optional<JsonNode> value, long revision) throws MalformedMessageException {
        jobs.addKnown(id); // before parsing: an unreadable record, too, shows that the job was accepted
        chunkedJobs.putMain(id, value);
        if (value.filter(ChunkedJobRecordCodec::isChunked).isPresent()) {
            return; // assembled once all changes of the same revision are applied
        }
        Optional<JobRecord> job =
                value.isEmpty() ? Optional.empty() : Optional.of(JobRecordCodec.parse(id, value.get()));
        putJobRecord(id, job, revision);
    }

    private void putJobRecord(String id, Optional<JobRecord> job, long revision) {
        unreadableKeys.remove(Keys.job(id));
        jobs.put(id, job, revision);
        if (job.filter(JobIndex::isInStoreOnly).isPresent()) {
            revisions.release(Keys.job(id), revision);
        }
    }

    private void putMember(String node, Optional<JsonNode> value) {
        value.ifPresentOrElse(record -> members.put(node, record), () -> members.remove(node));
        memberVersion++;
        machines.markAllChanged();
    }

    /** Assembles the records whose chunks or main value changed. Called once all changes of a revision are applied. */
    private void assembleChunkedJobs() {
        for (String id : chunkedJobs.drainChanged()) {
            String key = Keys.job(id);
            try {
                putJobRecord(id, Optional.of(chunkedJobs.assemble(id)), modRevision(key));
            } catch (MalformedMessageException | RuntimeException e) {
                markUnreadable(key, e);
            }
        }
    }

    /** Drops the key's revision, so that every precondition on it fails and no controller overwrites the unreadable record. */
    private void markUnreadable(String key, Exception cause) {
        LOG.error("stored record is unreadable key={} cause={}", key, cause.toString());
        unreadableKeys.add(key);
        revisions.forget(key);
    }
}
