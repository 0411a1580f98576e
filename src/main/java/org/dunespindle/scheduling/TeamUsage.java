package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.StateReplica;

/**
 * The resources of each team's allocated tasks, which count against its quota. Tasks of cancelled jobs count until they are released. Usage
 * is computed only from stored records, or from projections that include the stored ones: a sum over this controller's proposals alone may be
 * too low.
 */
public final class TeamUsage {
    private final Map<String, Resources> byTeam = new HashMap<>();

    private TeamUsage() {}

    /** The stored usage, according to the local replica. */
    public static TeamUsage stored(StateReplica replica) {
        var usage = new TeamUsage();
        replica.activeJobs()
                .forEach(job -> job.spec()
                        .ifPresent(spec -> usage.add(spec, job.allocations().size())));
        return usage;
    }

    /** The stored usage together with this controller's proposals; never below the stored usage. */
    static TeamUsage projected(Iterable<ProjectedJob> jobs) {
        var usage = new TeamUsage();
        jobs.forEach(job -> job.stored().spec().ifPresent(spec -> usage.add(spec, job.countedTasks())));
        return usage;
    }

    /** The usage of one team. */
    public Resources of(String team) {
        return byTeam.getOrDefault(team, Resources.NONE);
    }

    /** Adds the usage of more tasks of a job. */
    public void add(Submission job, int tasks) {
        byTeam.merge(job.team(), job.perTask().times(tasks), Resources::plus);
    }

    /** Calls the visitor for each team with any usage. */
    public void forEach(BiConsumer<String, Resources> visitor) {
        byTeam.forEach(visitor);
    }
}
