package org.dunespindle.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.scheduling.TaskAttempt;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;

/**
 * Tasks selected for preemption. The decisions are kept in memory only: stopping a task needs no stored record, only its termination
 * does. A decision that is lost with the process is made again by the next leader if it still applies.
 */
public final class PendingPreemptions {
    private final Map<String, Set<TaskAttempt>> byMachine = new HashMap<>();
    private final Map<String, Set<TaskAttempt>> byJob = new HashMap<>();

    /** Adds a task attempt to preempt on a machine. */
    public void add(TaskAttempt victim, String machineId) {
        byMachine.computeIfAbsent(machineId, key -> new HashSet<>()).add(victim);
        byJob.computeIfAbsent(victim.jobId(), key -> new HashSet<>()).add(victim);
    }

    /** A machine's allocations with the preempted ones marked as stopping. */
    public List<PlacedTask> withPreemptions(String machineId, List<PlacedTask> allocations) {
        Set<TaskAttempt> victims = byMachine.get(machineId);
        if (victims == null) {
            return allocations;
        }
        return allocations.stream()
                .map(placed -> victims.contains(attemptOf(placed.job(), placed.allocation()))
                        ? new PlacedTask(placed.job(), placed.allocation().stopped())
                        : placed)
                .toList();
    }

    /** A job with its preempted allocations marked as stopping. */
    public JobRecord withPreemptions(JobRecord job) {
        JobRecord marked = job;
        for (TaskAttempt victim : byJob.getOrDefault(job.id(), Set.of())) {
            if (isAllocated(job, victim)) {
                marked = marked.withTaskStopping(victim.task());
            }
        }
        return marked;
    }

    /** Removes the attempts that are no longer allocated. */
    public void prune(StateReplica replica) {
        byJob.values().removeIf(victims -> {
            victims.removeIf(victim -> !isAllocated(replica, victim));
            return victims.isEmpty();
        });
        byMachine.values().removeIf(victims -> {
            victims.removeIf(
                    victim -> !byJob.getOrDefault(victim.jobId(), Set.of()).contains(victim));
            return victims.isEmpty();
        });
    }

    private static boolean isAllocated(StateReplica replica, TaskAttempt victim) {
        return replica.activeJob(victim.jobId())
                .filter(job -> isAllocated(job, victim))
                .isPresent();
    }

    private static boolean isAllocated(JobRecord job, TaskAttempt victim) {
        return job.allocation(victim.task())
                .filter(allocation -> allocation.attemptBase() == victim.attemptBase())
                .isPresent();
    }

    /** The task attempt that an allocation of a job was made for. */
    public static TaskAttempt attemptOf(JobRecord job, Allocation allocation) {
        return new TaskAttempt(job.id(), allocation.task(), allocation.attemptBase());
    }
}
