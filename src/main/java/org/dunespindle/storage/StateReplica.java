package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.time.TimeSource;

/**
 * A local replica of everything in the state store, kept current by following the store's change log.
 *
 * <p>A read of the log that began after a query arrived answers that query as the store itself would, and serves all
 * queries that wait for it at once. This process's own transactions are applied as soon as they are committed, at the
 * revision that the store assigned to them.
 */
public final class StateReplica {
    private final ReplicaIndex index = new ReplicaIndex();
    private final ReplicaUpdater updater;

    /**
     * Creates an empty replica; nothing is read before {@link #start}.
     *
     * @param interval how long to wait between two reads of the change log
     * @param onChange runs after changes were applied
     */
    public StateReplica(StateStoreClient stateStore, TimeSource timeSource, Duration interval, Runnable onChange) {
        this.updater = new ReplicaUpdater(stateStore, timeSource, interval, index, onChange);
    }

    /** Loads everything, then follows the change log at the given interval. */
    public void start() {
        updater.start();
    }

    /** Whether everything has been read at least once. */
    public boolean isLoaded() {
        return updater.loaded();
    }

    /** The revision up to which every change has been applied. */
    public long appliedRevision() {
        return updater.appliedRevision();
    }

    /** An upper bound of the replica's age: the time since the last successful read began. */
    public Duration staleness() {
        return updater.staleness();
    }

    /** Runs {@code served} once a read that began after this call was applied, or {@code failed} if it failed. */
    public void refresh(Runnable served, Runnable failed) {
        updater.refresh(served, failed);
    }

    /** Applies a transaction of this process that the store committed at the given revision. */
    public void applyCommitted(Transaction transaction, long revision) {
        updater.applyCommitted(new CommittedTransaction(transaction, revision));
    }

    /** A job's record. */
    public Optional<JobRecord> job(String id) {
        return index.jobs().job(id);
    }

    /** All jobs by id, finished ones included. */
    public Map<String, JobRecord> jobs() {
        return index.jobs().all();
    }

    /** Jobs that are open or still have allocations. */
    public Iterable<JobRecord> activeJobs() {
        return index.jobs().active();
    }

    /** Jobs accepted or refused on behalf of other cells; ended ones stay until their origin has acknowledged that. */
    public Iterable<JobRecord> inboundJobs() {
        return index.jobs().inbound();
    }

    /** Jobs that a replica which has only applied changes up to a revision may not show as cancelled. */
    public List<String> cancelledSince(long revision) {
        return index.jobs().cancelledSince(revision);
    }

    /** The texts that the chunks of a job's record hold, in order; none for a record that is one value. */
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

    /** Machines whose record or allocations changed since the last call. */
    public Set<String> drainChangedMachines() {
        return index.machines().drainChanged();
    }

    /**
     * A transaction that changes a page of machines, and that only succeeds if nobody else changed the page since it was
     * read here.
     *
     * @param changes machines' new records, empty for a machine that is gone
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

    /** The value of a key that is neither a job, nor a page of machines, nor a membership record. */
    public Optional<JsonNode> value(String key) {
        return index.value(key);
    }

    /** The version of the stored forms. */
    public int formatVersion() {
        return FormatVersion.of(value(Keys.FORMAT));
    }

    /** The revision of a key's last change, for use as a precondition: 0 while the key does not exist. */
    public long modRevision(String key) {
        return index.modRevision(key);
    }

    /** Whether a key's value could not be parsed: it must not pass for one that does not exist. */
    public boolean isUnreadable(String key) {
        return index.isUnreadable(key);
    }

    /** A counter that increases with every change applied. */
    public long version() {
        return index.version();
    }
}
