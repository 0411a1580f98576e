package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.time.TimeSource;

/**
 * A local replica of the complete state store, which follows the store's change log.
 *
 * <p>A query is linearizable after a {@link #refresh}: a read of the log that started after the query arrived reflects all earlier
 * commits, and one such read serves all queries waiting for it. Transactions of this process are applied as soon as they are
 * committed, at the revision that the store assigned to them.
 */
public final class StateReplica {
    private final ReplicaIndex index = new ReplicaIndex();
    private final ReplicaUpdater updater;

    /**
     * Creates an empty replica; nothing is read before {@link #start}.
     *
     * @param interval the delay between two reads of the change log
     * @param onChange called after changes were applied
     */
    public StateReplica(StateStoreClient stateStore, TimeSource timeSource, Duration interval, Runnable onChange) {
        this.updater = new ReplicaUpdater(stateStore, timeSource, interval, index, onChange);
    }

    /** Loads a snapshot, then follows the change log at the given interval. */
    public void start() {
        updater.start();
    }

    /** Whether a snapshot has been loaded. */
    public boolean isLoaded() {
        return updater.loaded();
    }

    /** The revision up to which every change has been applied. */
    public long appliedRevision() {
        return updater.appliedRevision();
    }

    /** An upper bound of the replica's age: the time since the start of the last successful read. */
    public Duration staleness() {
        return updater.staleness();
    }

    /** Runs {@code onSuccess} once a read that starts after this call has been applied, or {@code onFailure} if that read fails. */
    public void refresh(Runnable onSuccess, Runnable onFailure) {
        updater.refresh(onSuccess, onFailure);
    }

    /** Applies a transaction of this process that the store committed at the given revision. */
    public void applyCommitted(Transaction transaction, long revision) {
        updater.applyCommitted(new CommittedTransaction(transaction, revision));
    }

    /** A job's record; empty if the job is unknown. */
    public Optional<JobRecord> job(String id) {
        return index.jobs().job(id);
    }

    /** All jobs by id, including finished ones. */
    public Map<String, JobRecord> jobs() {
        return index.jobs().all();
    }

    /** Jobs that are open or still have allocations. */
    public Iterable<JobRecord> activeJobs() {
        return index.jobs().active();
    }

    /** Jobs accepted from or declined to other cells. Ended ones remain until their origin has acknowledged the end. */
    public Iterable<JobRecord> inboundJobs() {
        return index.jobs().inbound();
    }

    /** Cancelled jobs whose cancellation may be missing in a replica that has applied changes only up to a revision. */
    public List<String> cancelledSince(long revision) {
        return index.jobs().cancelledSince(revision);
    }

    /** The texts of the chunks of a job's record, in order; empty for a record stored as one value. */
    List<String> chunksOf(String jobId) {
        return index.chunksOf(jobId);
    }

    /** Machines with allocations, whether or not they have a record. */
    public Set<String> machinesWithAllocations() {
        return index.jobs().machinesWithAllocations();
    }

    /** The allocations on one machine. */
    public List<PlacedTask> allocationsOn(String machineId) {
        return index.jobs().allocationsOn(machineId);
    }

    /** All machines by id. */
    public Map<String, MachineRecord> machines() {
        return index.machines().all();
    }

    /** Returns the machines whose record or desired tasks changed since the last call. */
    public Set<String> drainChangedMachines() {
        return index.machines().drainChanged();
    }

    /**
     * Creates a transaction that changes machine records of a page, with the page's revision in this replica as a precondition.
     *
     * @param changes the new record by machine id; empty removes the record
     */
    public Transaction rewriteMachinePage(String pageKey, Map<String, Optional<MachineRecord>> changes) {
        return index.machines().rewritePage(pageKey, modRevision(pageKey), changes);
    }

    /** The live controllers' membership records by name. */
    public Map<String, JsonNode> members() {
        return index.members();
    }

    /** A counter that increases whenever a controller joins or leaves. */
    public long memberVersion() {
        return index.memberVersion();
    }

    /** The value of a key that is neither a job or its chunk, nor a page of machines, nor a membership record. */
    public Optional<JsonNode> value(String key) {
        return index.value(key);
    }

    /** The stored format version, see {@link FormatVersion}. */
    public int formatVersion() {
        return FormatVersion.of(value(Keys.FORMAT));
    }

    /** The revision of a key's last change, for use as a precondition; 0 while the key does not exist. */
    public long modRevision(String key) {
        return index.modRevision(key);
    }

    /** Whether a key's value could not be parsed. Such a key must not be treated as absent. */
    public boolean isUnreadable(String key) {
        return index.isUnreadable(key);
    }

    /** A counter that increases with every change applied. */
    public long version() {
        return index.version();
    }
}
