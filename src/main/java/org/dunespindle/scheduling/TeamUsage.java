package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.StateReplica;

/**
 * What each team's tasks take of its limit, cancelled jobs' included: their tasks count until they are gone. It can only be had from
 * stored records or from ones that know what is stored, since a sum over proposals alone may be too low.
 */
public final class TeamUsage {
    private final Map<String, Resources> byTeam = new HashMap<>();

    private TeamUsage() {}

    /** What is stored, as far as known here. */
    public static TeamUsage stored(StateReplica replica) {
        var use = new TeamUsage();
        replica.activeJobs()
                .forEach(job -> job.spec()
                        .ifPresent(spec -> use.add(spec, job.allocations().size())));
        return use;
    }

    /** What is stored together with all that this controller has under way: never below what is stored. */
    static TeamUsage counted(Iterable<ProjectedJob> jobs) {
        var use = new TeamUsage();
        jobs.forEach(job -> job.stored().spec().ifPresent(spec -> use.add(spec, job.countedTasks())));
        return use;
    }

    /** What one team uses. */
    public Resources of(String team) {
        return byTeam.getOrDefault(team, Resources.NONE);
    }

    /** Counts more tasks of a job. */
    public void add(Submission job, int tasks) {
        byTeam.merge(job.team(), job.perTask().times(tasks), Resources::plus);
    }

    /** Visits the teams that use anything. */
    public void forEach(BiConsumer<String, Resources> visitor) {
        byTeam.forEach(visitor);
    }
}
