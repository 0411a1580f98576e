package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/** The times within which jobs should be done: multiples of their own deadline, or those that the operators aim at for their class. */
public final class ServiceLevelObjectives {
    private final Map<String, TreeSet<Duration>> finished = new HashMap<>();
    private final Map<String, TreeSet<Double>> deadlines = new HashMap<>();

    /** Takes the completion objectives from the settings. */
    public ServiceLevelObjectives(List<Settings.Objective> objectives) {
        for (Settings.Objective objective : objectives) {
            if (objective.kind().equals("finished")) {
                finished.computeIfAbsent(objective.jobClass(), c -> new TreeSet<>())
                        .add(objective.within());
            } else if (objective.kind().equals("deadline") && objective.times() > 0) {
                deadlines
                        .computeIfAbsent(objective.jobClass(), c -> new TreeSet<>())
                        .add(objective.times());
            }
        }
    }

    /** All times that a job is measured by, from its submission on, shortest first. */
    public List<Duration> all(Submission job) {
        if (job.due().isEmpty()) {
            return List.copyOf(finished.getOrDefault(job.jobClass(), new TreeSet<>()));
        }
        TreeSet<Double> times = deadlines.get(job.jobClass());
        return times == null
                ? List.of(job.due().get())
                : times.stream()
                        .map(t -> Duration.ofMillis(Math.round(job.due().get().toMillis() * t)))
                        .toList();
    }

    /** The first time that a job is measured by. */
    public Optional<Duration> nearest(Submission job) {
        return all(job).stream().findFirst();
    }
}
