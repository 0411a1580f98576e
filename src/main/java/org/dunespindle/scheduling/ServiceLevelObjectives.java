package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/** The times within which jobs should finish: multiples of a job's own deadline, or the completion objectives of its class. */
public final class ServiceLevelObjectives {
    /** Completion times by job class, shortest first. */
    private final Map<String, TreeSet<Duration>> completionTimes = new HashMap<>();
    /** Multiples of the job's deadline by job class, smallest first. */
    private final Map<String, TreeSet<Double>> deadlineMultiples = new HashMap<>();

    /** Reads the completion objectives from the settings; objectives of other kinds are ignored. */
    public ServiceLevelObjectives(List<Settings.Objective> objectives) {
        for (Settings.Objective objective : objectives) {
            if (ObjectiveKind.FINISHED.matches(objective)) {
                completionTimes
                        .computeIfAbsent(objective.jobClass(), jobClass -> new TreeSet<>())
                        .add(objective.within());
            } else if (ObjectiveKind.DEADLINE.matches(objective) && objective.times() > 0) {
                deadlineMultiples
                        .computeIfAbsent(objective.jobClass(), jobClass -> new TreeSet<>())
                        .add(objective.times());
            }
        }
    }

    /** All objectives of a job, as times from its submission, shortest first. */
    public List<Duration> all(Submission job) {
        if (job.due().isEmpty()) {
            return List.copyOf(completionTimes.getOrDefault(job.jobClass(), new TreeSet<>()));
        }
        TreeSet<Double> multiples = deadlineMultiples.get(job.jobClass());
        return multiples == null
                ? List.of(job.due().get())
                : multiples.stream()
                        .map(multiple ->
                                Duration.ofMillis(Math.round(job.due().get().toMillis() * multiple)))
                        .toList();
    }

    /** The shortest objective of a job; empty if it has none. */
    public Optional<Duration> nearest(Submission job) {
        return all(job).stream().findFirst();
    }
}
