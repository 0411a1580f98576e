package org.dunespindle.storage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The replica's job records, with indexes of active, inbound and cancelled jobs and of allocations. Of the ended jobs of this cell's own
 * users only the latest are retained; the others remain in the state store, and {@link #mayHaveEnded} tells whether a job can be one of
 * them.
 */
final class JobIndex {
    /** More than users poll for in the seconds after the end. */
    private static final int MAX_RECENTLY_ENDED_JOBS = 2000;

    private final Map<String, JobRecord> activeJobs = new LinkedHashMap<>();
    private final Map<String, JobRecord> inboundJobs = new LinkedHashMap<>();
    private final CancellationLog cancellations = new CancellationLog();
    private final AllocationIndex allocations;
    private final EndedJobCache recentlyEnded;
    private final KnownJobIds knownIds;
    private long endedCount;

    /**
     * Creates an empty index.
     *
     * @param onMachineChanged called with each machine whose desired tasks have changed
     */
    JobIndex(Consumer<String> onMachineChanged) {
        this(onMachineChanged, new EndedJobCache(MAX_RECENTLY_ENDED_JOBS), new KnownJobIds());
    }

    private JobIndex(Consumer<String> onMachineChanged, EndedJobCache recentlyEnded, KnownJobIds knownIds) {
        this.allocations = new AllocationIndex(onMachineChanged);
        this.recentlyEnded = recentlyEnded;
        this.knownIds = knownIds;
    }

    /** An empty index that shares what stays true of ended jobs when the stored state is read again. */
    JobIndex successor(Consumer<String> machineChangeListener) {
        return new JobIndex(machineChangeListener, recentlyEnded, knownIds);
    }

    /** The record of a job that is open or still has allocations. */
    Optional<JobRecord> active(String id) {
        return Optional.ofNullable(activeJobs.get(id));
    }

    /** The record of a job whose origin is another cell. */
    Optional<JobRecord> inbound(String id) {
        return Optional.ofNullable(inboundJobs.get(id));
    }

    /** A job's record if it is in memory; an ended job may be in the state store only. */
    Optional<JobRecord> retained(String id) {
        return active(id).or(() -> inbound(id)).or(() -> recentlyEnded.get(id));
    }

    /** Whether a job that is not retained may have been stored before; false is certain. */
    boolean mayHaveEnded(String id) {
        return knownIds.mightContain(id);
    }

    /** Jobs that are open or still have allocations. */
    Iterable<JobRecord> active() {
        return activeJobs.values();
    }

    /** Jobs whose origin is another cell, including ended ones. */
    Iterable<JobRecord> inbound() {
        return inboundJobs.values();
    }

    /** The number of stored jobs that have ended and have no allocations. */
    long endedCount() {
        return endedCount;
    }

    /** The number of job records in memory. */
    int retainedCount() {
        return activeJobs.size() + inboundJobs.size() + recentlyEnded.size();
    }

    /** The jobs whose cancellation was first applied after a revision. */
    CancellationLog cancellations() {
        return cancellations;
    }

    /** Machines with at least one allocation. */
    Set<String> machinesWithAllocations() {
        return allocations.machines();
    }

    /** The allocations on one machine. */
    List<PlacedTask> allocationsOn(String machineId) {
        return allocations.on(machineId);
    }

    /** Records that a job was stored, whether or not its record can be read. */
    void addKnown(String id) {
        knownIds.add(id);
    }

    /** Replaces a job's record; an empty one removes it. */
    void put(String id, Optional<JobRecord> after, long revision) {
        Optional<JobRecord> before = active(id).or(() -> inbound(id));
        if (isCancelled(after) && !isCancelled(before)) {
            cancellations.add(revision, id);
        }
        endedCount += (hasEnded(after) ? 1 : 0) - (hasEnded(before) ? 1 : 0);
        after.filter(job -> job.spec().isPresent())
                .ifPresentOrElse(job -> activeJobs.put(id, job), () -> activeJobs.remove(id));
        after.filter(job -> job.inboundDelegation().isPresent())
                .ifPresentOrElse(job -> inboundJobs.put(id, job), () -> inboundJobs.remove(id));
        updateRecentlyEnded(id, before, after);
        allocations.update(id, before, after);
    }

    private void updateRecentlyEnded(String id, Optional<JobRecord> before, Optional<JobRecord> after) {
        boolean isOwnEnded = after.filter(JobIndex::isInStoreOnly).isPresent();
        if (!isOwnEnded) {
            recentlyEnded.remove(id);
        } else if (before.isPresent()) {
            recentlyEnded.put(after.get());
        }
    }

    /** Whether a record needs no place in memory: an ended job that is of no interest to another cell. */
    static boolean isInStoreOnly(JobRecord job) {
        return job.spec().isEmpty() && job.inboundDelegation().isEmpty();
    }

    private static boolean hasEnded(Optional<JobRecord> job) {
        return job.isPresent() && job.get().spec().isEmpty();
    }

    private static boolean isCancelled(Optional<JobRecord> job) {
        return job.isPresent() && job.get().outcome() == JobRecord.Outcome.CANCELLED;
    }
}
