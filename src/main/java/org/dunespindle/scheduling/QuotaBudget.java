package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/** The remaining quotas of the teams while a plan is made. */
final class QuotaBudget {
    private final Map<String, Settings.Team> teams;
    private final TeamUsage usage;
    /** Usage that unplaced tasks would add, by team. It limits scale-out, but does not prevent the placement of other jobs. */
    private final Map<String, Resources> unplacedUsage = new HashMap<>();
    /** Quota needed by a gang that has waited long, by team; withheld from the team's later jobs. */
    private final Map<String, Resources> reserved = new HashMap<>();

    QuotaBudget(Map<String, Settings.Team> teams, TeamUsage usage) {
        this.teams = teams;
        this.usage = usage;
    }

    /** Whether the quota allows the given number of a job's tasks. */
    boolean allows(Submission job, int tasks) {
        return allows(job, Resources.NONE, tasks);
    }

    /** Whether the quota allows the given number of a job's tasks in addition to some other usage. */
    boolean allows(Submission job, Resources otherUsage, int tasks) {
        Settings.Team team = teams.get(job.team());
        Resources before = usage.of(job.team()).plus(otherUsage);
        return team != null && team.withinLimit(before.plus(job.perTask().times(tasks)));
    }

    /** The number of a job's tasks, up to a maximum, that the quota allows in addition to some other usage; found by binary search. */
    int maxTasks(Submission job, Resources otherUsage, int maximum) {
        int low = 0;
        int high = maximum;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (allows(job, otherUsage, middle)) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }

    /** Adds tasks that the plan allocates to their team's usage. */
    void allocate(Submission job, int tasks) {
        usage.add(job, tasks);
    }

    /** The quota that is withheld from a team's later jobs for a waiting gang. */
    Resources reserved(String team) {
        return reserved.getOrDefault(team, Resources.NONE);
    }

    /** Withholds a part of a team's quota for a waiting gang. */
    void reserve(String team, Resources amount) {
        reserved.put(team, amount);
    }

    /** The usage that the team's unplaced tasks would add. */
    Resources unplacedUsage(String team) {
        return unplacedUsage.getOrDefault(team, Resources.NONE);
    }

    /** Adds the resources of tasks for which no capacity was found. */
    void addUnplacedUsage(String team, Resources amount) {
        unplacedUsage.merge(team, amount, Resources::plus);
    }
}
