package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/** Restricts the zones of a job's remaining tasks: the same zone for all tasks, or at most half of the tasks, rounded up, in each zone. */
final class ZoneRules {
    private final boolean sameZone;
    private final int maxTasksPerZone;
    private final Map<String, Integer> tasksPerZone;
    private Optional<String> requiredZone;

    /** Creates rules that only require the zone given in the submission, if any, regardless of allocated tasks. */
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
     * @param chosen the zone for a job that needs the same zone for all tasks and has none allocated; if empty, its first task decides
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

    /** The only zone that may still be used, if the job is restricted to one. */
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
