package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.time.TimeSource;

/**
 * A local replica of the complete state store, which follows the store's change log.
 *
 * <p>A query is linearizable after a {@link #refresh}: a read of the log that started after the query arrived reflects all earlier
 * commits, and one such read serves all queries waiting for it. Transactions of this process are applied as soon as they are
 * committed, at the revision that the store assigned to them.
 */
public final class StateReplica {
    private final ReplicaUpdater updater;
    private final JobLookup jobLookup;

    /**
     * Creates an empty replica; nothing is read before {@link #start}.
     *
     * @param interval the delay between two reads of the change log
     * @param onChange called after changes were applied
     */
    public StateReplica(StateStoreClient stateStore, TimeSource timeSource, Duration interval, Runnable onChange) {
        this.updater = new ReplicaUpdater(stateStore, timeSource, interval, onChange);
        this.jobLookup = new JobLookup(stateStore, updater);
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

    /** The start of the last successful read; every change that was committed before is applied. */
    public Duration asOf() {
        return updater.asOf();
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

    /** The record of a job that is open or still has allocations; empty if it has ended, or was never accepted as far as is known. */
    public Optional<JobRecord> activeJob(String id) {
        return index().jobs().active(id);
    }

    /** The record of a job accepted from or declined to another cell, until its origin has acknowledged the end. */
    public Optional<JobRecord> inboundJob(String id) {
        return index().jobs().inbound(id);
    }

    /**
     * A job's record if it is in memory: of an active or inbound job, or of one that ended or was looked up lately. That it is not in memory
     * proves nothing; see {@link #findJob}.
     */
    public Optional<JobRecord> retainedJob(String id) {
        return jobLookup.inMemory(id);
    }

    /** Whether a job may have been accepted before; false is certain, up to the applied revision. */
    public boolean mayKnowJob(String id) {
        return index().jobs().mayHaveEnded(id);
    }

    /** Finds a job in a state that is at least as new as this call, reading its key if necessary. */
    public void findJob(String id, Consumer<JobLookupResult> onResult) {
        jobLookup.find(id, onResult);
    }

    /** Finds a job in a state that is at least as new as this replica, reading its key if necessary; for use after a {@link #refresh}. */
    public void findJobAfterRefresh(String id, Consumer<JobLookupResult> onResult) {
        jobLookup.findAfterRefresh(id, onResult);
    }

    /** Reads the record of a job that may have ended into memory, for callers that can't wait for it. */
    public void prefetchJob(String id) {
        jobLookup.prefetch(id);
    }

    /** What is held in memory, and the reads of single jobs. */
    public ReplicaStatistics statistics() {
        return jobLookup.statistics();
    }

    private ReplicaIndex index() {
        return updater.index();
    }

    /** Jobs that are open or still have allocations. */
    public Iterable<JobRecord> activeJobs() {
        return index().jobs().active();
    }

    /** Jobs accepted from or declined to other cells. Ended ones remain until their origin has acknowledged the end. */
    public Iterable<JobRecord> inboundJobs() {
        return index().jobs().inbound();
    }

    /**
     * All cancelled jobs whose cancellation may be missing in a replica that has applied changes only up to a revision; empty if that is too
     * long ago to know them all.
     */
    public Optional<List<String>> cancelledSince(long revision) {
        return index().jobs().cancellations().since(revision);
    }

    /** The texts of the chunks of a job's record, in order; empty for a record stored as one value. */
    List<String> chunksOf(String jobId) {
        return index().chunksOf(jobId);
    }

    /** Machines with allocations, whether or not they have a record. */
    public Set<String> machinesWithAllocations() {
        return index().jobs().machinesWithAllocations();
    }

    /** The allocations on one machine. */
    public List<PlacedTask> allocationsOn(String machineId) {
        return index().jobs().allocationsOn(machineId);
    }

    /** All machines by id. */
    public Map<String, MachineRecord> machines() {
        return index().machines().all();
    }

    /** Returns the machines whose record or desired tasks changed since the last call. */
    public Set<String> drainChangedMachines() {
        return index().machines().drainChanged();
    }

    /**
     * Creates a transaction that changes machine records of a page, with the page's revision in this replica as a precondition.
     *
     * @param changes the new record by machine id; empty removes the record
     */
    public Transaction rewriteMachinePage(String pageKey, Map<String, Optional<MachineRecord>> changes) {
        return index().machines().rewritePage(pageKey, modRevision(pageKey), changes);
    }

    /** The live controllers' membership records by name. */
    public Map<String, JsonNode> members() {
        return index().members();
    }

    /** A counter that increases whenever a controller joins or leaves. */
    public long memberVersion() {
        return index().memberVersion();
    }

    /** The value of a key that is neither a job or its chunk, nor a page of machines, nor a membership record. */
    public Optional<JsonNode> value(String key) {
        return index().value(key);
    }

    /** The stored format version, see {@link FormatVersion}. */
    public int formatVersion() {
        return FormatVersion.of(value(Keys.FORMAT));
    }

    /** The revision of a key's last change, for use as a precondition; 0 while the key does not exist. */
    public long modRevision(String key) {
        return index().modRevision(key);
    }

    /** Whether a key's value could not be parsed. Such a key must not be treated as absent. */
    public boolean isUnreadable(String key) {
        return index().isUnreadable(key);
    }

    /** A counter that increases with every change applied. */
    public long version() {
        return index().version();
    }
}
