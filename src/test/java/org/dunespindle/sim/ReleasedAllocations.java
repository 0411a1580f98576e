package org.dunespindle.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * Checks that an allocation is released only after its task has left the machine. A task that is released earlier may start elsewhere,
 * and neither its machine's capacity nor its team's limit is accounted for meanwhile. A task that has completed before is exempt: its
 * result is kept, so a repeated start of it ends as soon as it has its image.
 */
final class ReleasedAllocations {
    private final SimulatedCluster cluster;

    ReleasedAllocations(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Checks a change of a job's record in the store. */
    void check(JobRecord before, Optional<JobRecord> after, long revision) {
        for (Allocation released : releasedBy(before, after)) {
            var task = new TaskId(before.id(), released.task());
            FakeWorker worker = cluster.workers.get(released.machineId());
            boolean completed = cluster.done.getOrDefault(task.job(), Set.of()).contains(task.index());
            if (worker != null && !worker.dead && worker.holds(task) && !completed) {
                cluster.violations.add("released early: %s is on %s at revision %d, %d ms"
                        .formatted(
                                task, worker.id(), revision, cluster.sim.now().toMillis()));
            }
        }
    }

    private static List<Allocation> releasedBy(JobRecord before, Optional<JobRecord> after) {
        var released = new ArrayList<Allocation>();
        for (Allocation allocation : before.allocations()) {
            boolean kept = after.flatMap(job -> job.allocation(allocation.task()))
                    .filter(current -> current.attemptBase() == allocation.attemptBase())
                    .isPresent();
            if (!kept) {
                released.add(allocation);
            }
        }
        return released;
    }
}
