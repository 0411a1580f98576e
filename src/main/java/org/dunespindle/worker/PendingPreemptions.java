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
 * Tasks that are to give way, decided here and stored nowhere: stopping a task needs no record, only its end does. A
 * decision that is lost with its process is taken anew by the next leader, if it still makes sense.
 */
public final class PendingPreemptions {
    private final Map<String, Set<TaskAttempt>> byHost = new HashMap<>();
    private final Map<String, Set<TaskAttempt>> byJob = new HashMap<>();

    public void add(TaskAttempt allocation, String host) {
        byHost.computeIfAbsent(host, h -> new HashSet<>()).add(allocation);
        byJob.computeIfAbsent(allocation.job(), j -> new HashSet<>()).add(allocation);
    }

    /** A machine's allocations, with those marked that are to give way. */
    public List<PlacedTask> marked(String host, List<PlacedTask> allocations) {
        Set<TaskAttempt> stops = byHost.get(host);
        return stops == null
                ? allocations
                : allocations.stream()
                        .map(placed -> stops.contains(new TaskAttempt(
                                        placed.job().id(),
                                        placed.allocation().task(),
                                        placed.allocation().attemptBase()))
                                ? new PlacedTask(
                                        placed.job(), placed.allocation().stopped())
                                : placed)
                        .toList();
    }

    /** A job with those of its allocations marked that are to give way. */
    public JobRecord marked(JobRecord job) {
        JobRecord marked = job;
        for (TaskAttempt stop : byJob.getOrDefault(job.id(), Set.of())) {
            if (stands(job, stop)) {
                marked = marked.withTaskStopping(stop.task());
            }
        }
        return marked;
    }

    private static boolean stands(JobRecord job, TaskAttempt stop) {
        return job.allocation(stop.task())
                .filter(allocation -> allocation.attemptBase() == stop.attemptBase())
                .isPresent();
    }

    /** Forgets what has left its machine. */
    public void prune(StateReplica replica) {
        byJob.values().removeIf(stops -> {
            stops.removeIf(
                    s -> replica.job(s.job()).filter(job -> stands(job, s)).isEmpty());
            return stops.isEmpty();
        });
        byHost.values().removeIf(stops -> {
            stops.removeIf(s -> !byJob.getOrDefault(s.job(), Set.of()).contains(s));
            return stops.isEmpty();
        });
    }

    public static TaskAttempt of(JobRecord job, Allocation allocation) {
        return new TaskAttempt(job.id(), allocation.task(), allocation.attemptBase());
    }
}
