package org.dunespindle.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/** The times within which jobs should be done: their own deadline, or those that the operators aim at for their class. */
public final class Targets {
    private final Map<String, List<Duration>> byClass = new HashMap<>();

    public Targets(List<Settings.Objective> objectives) {
        objectives.stream().filter(o -> o.kind().equals("finished")).sorted(Comparator.comparing(Settings.Objective::within))
                .forEach(o -> byClass.computeIfAbsent(o.jobClass(), c -> new ArrayList<>()).add(o.within()));
    }

    /** The finishing times of each class, shortest first. */
    public Map<String, List<Duration>> byClass() {
        return byClass;
    }

    /** The first time that a job is measured by, from its submission on. */
    public Optional<Duration> nearest(Submission job) {
        return job.due().or(() -> byClass.getOrDefault(job.jobClass(), List.of()).stream().findFirst());
    }
}
