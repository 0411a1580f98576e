package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * A job as it is stored, as far as the replica has applied changes, and as this controller expects it to become. The projected record
 * may never be stored: another controller may have changed the job since. It shows where this controller's proposals lead and proves nothing
 * about the stored state.
 *
 * @param stored the record in the replica
 * @param projected the record that this controller has proposed, if any, with the tasks marked that are about to be preempted
 */
public record ProjectedJob(JobRecord stored, JobRecord projected) {
    /** A job for which this controller has proposed nothing. */
    public static ProjectedJob unchanged(JobRecord stored) {
        return new ProjectedJob(stored, stored);
    }

    /**
     * The number of tasks that count against quotas: all that are stored, and those that are proposed in addition. A proposal that releases
     * tasks frees nothing before it is stored.
     */
    int countedTasks() {
        return projected.allocations().size() + unprojectedAllocations().size();
    }

    /** Stored allocations that the projected record does not contain: it is stale, or releases them. */
    @SuppressWarnings(
            "ReferenceEquality") // the same object stands for "nothing is projected"; comparing records would be costly
    public List<Allocation> unprojectedAllocations() {
        if (stored == projected) {
            return List.of();
        }
        Set<Integer> projectedTasks = new HashSet<>();
        projected.allocations().forEach(allocation -> projectedTasks.add(allocation.task()));
        var missing = new ArrayList<Allocation>();
        for (Allocation allocation : stored.allocations()) {
            if (!projectedTasks.contains(allocation.task())) {
                missing.add(allocation);
            }
        }
        return missing;
    }
}
