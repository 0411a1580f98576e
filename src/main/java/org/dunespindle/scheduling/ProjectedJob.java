package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * A job record as stored, according to the local replica, together with the record as it will be if this controller's proposals are stored.
 * The projected record may never be stored, because another controller may have changed the job in the meantime; it implies nothing about
 * the stored state.
 *
 * @param stored the record in the replica
 * @param projected the record that this controller has proposed, or the stored one, with tasks that are about to be preempted marked as stopping
 */
public record ProjectedJob(JobRecord stored, JobRecord projected) {
    /** A job without a pending proposal by this controller. */
    public static ProjectedJob unchanged(JobRecord stored) {
        return new ProjectedJob(stored, stored);
    }

    /**
     * The number of tasks that count against the quota: all stored ones and any that are proposed in addition. A proposal that releases tasks
     * frees no quota before it is stored.
     */
    int countedTasks() {
        return projected.allocations().size() + unprojectedAllocations().size();
    }

    /** Stored allocations that the projected record does not contain, because it is stale or releases them. */
    @SuppressWarnings(
            "ReferenceEquality") // identity means that nothing is proposed; comparing the records would be costly
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
