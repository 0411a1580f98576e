package org.dunespindle.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Replica;
import org.dunespindle.storage.Replica.Placed;

/**
 * Tasks that are to give way, decided here and stored nowhere: stopping a task needs no record, only its end does. A
 * decision that is lost with its process is taken anew by the next leader, if it still makes sense.
 */
final class Preemptions {
    private final Map<String, Set<Planner.Ended>> byHost = new HashMap<>();
    private final Map<String, Set<Planner.Ended>> byJob = new HashMap<>();

    void add(Planner.Ended allocation, String host) {
        byHost.computeIfAbsent(host, h -> new HashSet<>()).add(allocation);
        byJob.computeIfAbsent(allocation.job(), j -> new HashSet<>()).add(allocation);
    }

    /** A machine's allocations, with those marked that are to give way. */
    List<Placed> marked(String host, List<Placed> allocations) {
        Set<Planner.Ended> stops = byHost.get(host);
        return stops == null
                ? allocations
                : allocations.stream()
                        .map(p -> stops.contains(new Planner.Ended(
                                        p.job().id(),
                                        p.allocation().task(),
                                        p.allocation().base()))
                                ? new Placed(p.job(), p.allocation().stopped())
                                : p)
                        .toList();
    }

    /** A job with those of its allocations marked that are to give way. */
    JobRecord marked(JobRecord job) {
        JobRecord marked = job;
        for (Planner.Ended stop : byJob.getOrDefault(job.id(), Set.of())) {
            if (stands(job, stop)) {
                marked = marked.stopTask(stop.task());
            }
        }
        return marked;
    }

    private static boolean stands(JobRecord job, Planner.Ended stop) {
        return job.allocation(stop.task()).filter(c -> c.base() == stop.base()).isPresent();
    }

    /** Forgets what has left its machine. */
    void prune(Replica replica) {
        byJob.values().removeIf(stops -> {
            stops.removeIf(s -> replica.job(s.job()).filter(j -> stands(j, s)).isEmpty());
            return stops.isEmpty();
        });
        byHost.values().removeIf(stops -> {
            stops.removeIf(s -> !byJob.getOrDefault(s.job(), Set.of()).contains(s));
            return stops.isEmpty();
        });
    }

    static Planner.Ended of(JobRecord job, Allocation allocation) {
        return new Planner.Ended(job.id(), allocation.task(), allocation.base());
    }
}
