package org.dunespindle.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The replica's job records, with indexes of active, inbound and cancelled jobs and of allocations. */
final class JobIndex {
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final Map<String, JobRecord> activeJobs = new LinkedHashMap<>();
    private final Map<String, JobRecord> inboundJobs = new LinkedHashMap<>();
    /** Cancelled jobs by the revision at which this replica first applied the cancellation, which was committed then or earlier. */
    private final TreeMap<Long, List<String>> cancelledByRevision = new TreeMap<>();

    private final AllocationIndex allocations;

    /**
     * Creates an empty index.
     *
     * @param onMachineChanged called with each machine whose desired tasks have changed
     */
    JobIndex(Consumer<String> onMachineChanged) {
        this.allocations = new AllocationIndex(onMachineChanged);
    }

    /** A job's record; empty if the job is unknown. */
    Optional<JobRecord> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** All jobs by id. */
    Map<String, JobRecord> all() {
        return jobs;
    }

    /** Jobs that are open or still have allocations. */
    Iterable<JobRecord> active() {
        return activeJobs.values();
    }

    /** Jobs whose origin is another cell, including ended ones. */
    Iterable<JobRecord> inbound() {
        return inboundJobs.values();
    }

    /** Jobs whose cancellation was first applied after a revision. */
    List<String> cancelledSince(long revision) {
        var ids = new ArrayList<String>();
        cancelledByRevision.tailMap(revision, false).values().forEach(ids::addAll);
        return ids;
    }

    /** Machines with at least one allocation. */
    Set<String> machinesWithAllocations() {
        return allocations.machines();
    }

    /** The allocations on one machine. */
    List<PlacedTask> allocationsOn(String machineId) {
        return allocations.on(machineId);
    }

    /** Replaces a job's record; an empty one removes it. */
    void put(String id, Optional<JobRecord> after, long revision) {
        Optional<JobRecord> before =
                Optional.ofNullable(after.isPresent() ? jobs.put(id, after.get()) : jobs.remove(id));
        if (isCancelled(after) && !isCancelled(before)) {
            cancelledByRevision
                    .computeIfAbsent(revision, ids -> new ArrayList<>(1))
                    .add(id);
        }
        after.filter(job -> job.spec().isPresent())
                .ifPresentOrElse(job -> activeJobs.put(id, job), () -> activeJobs.remove(id));
        after.filter(job -> job.inboundDelegation().isPresent())
                .ifPresentOrElse(job -> inboundJobs.put(id, job), () -> inboundJobs.remove(id));
        allocations.update(id, before, after);
    }

    private static boolean isCancelled(Optional<JobRecord> job) {
        return job.isPresent() && job.get().outcome() == JobRecord.Outcome.CANCELLED;
    }

    void clear() {
        jobs.clear();
        activeJobs.clear();
        inboundJobs.clear();
        allocations.clear();
        cancelledByRevision.clear();
    }
}
