package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/** The zones in which a job's further tasks may be placed: a single one for all tasks, or at most half of the tasks in each. */
final class ZoneRules {
    private final boolean sameZone;
    private final int maxTasksPerZone;
    private final Map<String, Integer> tasksPerZone;
    private Optional<String> requiredZone;

    /** Rules that only require the zone that the submission names, wherever the tasks are allocated. */
    ZoneRules(Submission job) {
        this.sameZone = false;
        this.maxTasksPerZone = Integer.MAX_VALUE;
        this.tasksPerZone = new HashMap<>();
        this.requiredZone = job.zone();
    }

    /**
     * Creates the rules of a job.
     *
     * @param allocated how many of its tasks are allocated in each zone
     * @param chosen the zone for a job that needs a single one and has no task allocated yet; if empty, its first task decides
     */
    ZoneRules(Submission job, Map<String, Integer> allocated, Optional<String> chosen) {
        this.sameZone = job.sameZone();
        this.maxTasksPerZone = job.spread() ? (job.tasks() + 1) / 2 : Integer.MAX_VALUE;
        this.tasksPerZone = new HashMap<>(allocated);
        this.requiredZone = job.zone();
        if (sameZone && requiredZone.isEmpty()) {
            requiredZone =
                    allocated.isEmpty() ? chosen : allocated.keySet().stream().findFirst();
        }
    }

    /** The only zone that may still be used, if the job is bound to one. */
    Optional<String> requiredZone() {
        return requiredZone;
    }

    /** Whether one more task may be placed on a machine. */
    boolean allows(MachineSnapshot machine) {
        boolean rightZone = requiredZone.isEmpty() || requiredZone.get().equals(machine.zone());
        return rightZone
                && (maxTasksPerZone == Integer.MAX_VALUE
                        || tasksPerZone.getOrDefault(machine.zone(), 0) < maxTasksPerZone);
    }

    /** Counts one more task in a zone. */
    void addTask(String zone) {
        tasksPerZone.merge(zone, 1, Integer::sum);
        if (sameZone && requiredZone.isEmpty()) {
            requiredZone = Optional.of(zone);
        }
    }
}
