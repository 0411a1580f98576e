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
    private final JobIndex jobs = new JobIndex(machines::markChanged);
    private final ChunkedJobRecords chunkedJobs = new ChunkedJobRecords();
    private final Map<String, JsonNode> members = new TreeMap<>();
    private final Map<String, JsonNode> otherValues = new HashMap<>();
    /** The revision of each key's last change; negated if that change removed the key. */
    private final Map<String, Long> modRevisions = new HashMap<>();

    private final Set<String> unreadableKeys = new HashSet<>();
    private long version;
    private long memberVersion;

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

    /** The revision of a key's last change; 0 while the key does not exist. */
    long modRevision(String key) {
        return Math.max(0, modRevisions.getOrDefault(key, 0L));
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
        entries.forEach(this::put);
        assembleChunkedJobs();
    }

    /** Applies a transaction that this process committed. */
    void apply(CommittedTransaction commit) {
        putChanges(commit);
        assembleChunkedJobs();
    }

    /**
     * Replaces the contents.
     *
     * @param entries the store's entries, followed by the changes made while they were read
     * @param commits transactions of this process that the entries may lack. Requests were already answered based on them, so
     *     the replica must not return to an older state, even briefly.
     */
    void replaceAll(List<StateMessages.Entry> entries, List<CommittedTransaction> commits) {
        clear();
        entries.forEach(this::put);
        commits.forEach(this::putChanges);
        assembleChunkedJobs();
    }

    private void clear() {
        jobs.clear();
        machines.clear();
        unreadableKeys.clear();
        chunkedJobs.clear();
        members.clear();
        memberVersion++;
        otherValues.clear();
        modRevisions.clear();
    }

    private void putChanges(CommittedTransaction commit) {
        commit.transaction().changes().forEach((key, change) -> put(key, change.value(), commit.revision()));
    }

    private void put(StateMessages.Entry entry) {
        put(entry.key(), entry.value(), entry.revision());
    }

    private void put(String key, Optional<JsonNode> value, long revision) {
        Long appliedRevision = modRevisions.get(key);
        if (appliedRevision != null && Math.abs(appliedRevision) >= revision) {
            return; // already applied as a transaction of this process
        }
        modRevisions.put(key, value.isPresent() ? revision : -revision);
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
        modRevisions.remove(key);
    }
}
