package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** Chooses a zone for jobs whose tasks must all run in the same zone. */
final class ZoneChooser {
    /** The maximum number of tasks counted per machine; capacity for more on one machine does not affect the choice. */
    private static final int MAX_TASKS_COUNTED_PER_MACHINE = 64;

    private static final double FREE_TASK_SCORE = 3;
    private static final double PREEMPTED_TASK_SCORE = 2;
    private static final double IMAGE_FOR_ALL_TASKS_SCORE = 1.5;
    private static final double IMAGE_FOR_SOME_TASKS_SCORE = 0.1;
    private static final double REFUSED_POOL_PENALTY_PER_MISSING_TASK = 0.5;
    private static final double REFUSED_POOL_PENALTY = 0.1;
    private final PlanState state;

    /** The number of tasks that a zone has capacity for. */
    private static final class ZoneCapacity {
        int free;
        int preemptible;
        int booting;
        int withImage;
    }

    ZoneChooser(PlanState state) {
        this.state = state;
    }

    /** The zone rules of a job. If all its tasks must run in the same zone and none is allocated yet, the best zone is chosen. */
    ZoneRules rules(JobRecord job) {
        Map<String, Integer> perZone = state.tasksPerZone(job);
        boolean choose = job.submission().sameZone() && job.submission().zone().isEmpty() && perZone.isEmpty();
        return new ZoneRules(job.submission(), perZone, choose ? best(job, job.unplacedCount()) : Optional.empty());
    }

    /** The zone rules of a job if one of its tasks is moved off its machine. */
    ZoneRules rulesWithout(JobRecord job, Allocation leaving) {
        Map<String, Integer> perZone = state.tasksPerZone(job);
        MachinePool pool = state.snapshot().pools().get(leaving.machineId());
        if (pool != null) {
            perZone.computeIfPresent(pool.zone(), (zone, count) -> count > 1 ? count - 1 : null);
        }
        return new ZoneRules(job.submission(), perZone, Optional.empty());
    }

    /** The zone with the highest score for the job: free capacity counts most, then preemptible, then booting capacity. */
    private Optional<String> best(JobRecord job, int missing) {
        String best = null;
        double bestScore = 0;
        for (Map.Entry<String, ZoneCapacity> zone : new TreeMap<>(capacityByZone(job, missing)).entrySet()) {
            double score = score(zone.getKey(), zone.getValue(), missing);
            if (score > bestScore) {
                best = zone.getKey();
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private Map<String, ZoneCapacity> capacityByZone(JobRecord job, int missing) {
        Submission spec = job.submission();
        int maxTasks = Math.min(MAX_TASKS_COUNTED_PER_MACHINE, missing);
        var byZone = new HashMap<String, ZoneCapacity>();
        for (MachineCapacity machine : state.machines().candidates(spec)) {
            int fits = Planner.fitCount(spec.perTask(), machine.free(), maxTasks);
            ZoneCapacity capacity = byZone.computeIfAbsent(machine.snapshot().zone(), name -> new ZoneCapacity());
            if (!machine.snapshot().up()) {
                capacity.booting += fits;
                continue;
            }
            int preemptible = machine.hasPreemptibleOrStopping()
                    ? Planner.fitCount(spec.perTask(), machine.freeAfterPreemptionBy(job), maxTasks) - fits
                    : 0;
            capacity.free += fits;
            capacity.preemptible += preemptible;
            capacity.withImage += machine.hasImage(spec.image()) ? fits + preemptible : 0;
        }
        return byZone;
    }

    private double score(String zone, ZoneCapacity capacity, int missing) {
        int free = Math.min(missing, capacity.free);
        int preemptible = Math.min(missing - free, capacity.preemptible);
        int booting = Math.min(missing - free - preemptible, capacity.booting);
        double imageScore = capacity.withImage >= missing ? IMAGE_FOR_ALL_TASKS_SCORE : IMAGE_FOR_SOME_TASKS_SCORE;
        double score = FREE_TASK_SCORE * free
                + PREEMPTED_TASK_SCORE * preemptible
                + booting
                + imageScore * Math.min(missing, capacity.withImage);
        for (MachinePool pool : state.snapshot().refusedPools()) {
            if (pool.zone().equals(zone) && !pool.spot()) {
                score -= REFUSED_POOL_PENALTY_PER_MISSING_TASK * (missing - free - preemptible - booting)
                        + REFUSED_POOL_PENALTY;
            }
        }
        return score;
    }
}
