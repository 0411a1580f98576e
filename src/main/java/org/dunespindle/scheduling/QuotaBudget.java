package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/** What is left of the teams' quotas while a plan is made. */
final class QuotaBudget {
    private final Map<String, Settings.Team> teams;
    private final TeamUsage usage;
    /** By team: what its unplaced tasks would add to its usage. It bounds scale-out, but keeps no other job from being placed. */
    private final Map<String, Resources> unplacedUsage = new HashMap<>();
    /** By team: what a gang that has waited long needs of the quota, withheld from the team's later work. */
    private final Map<String, Resources> reserved = new HashMap<>();

    QuotaBudget(Map<String, Settings.Team> teams, TeamUsage usage) {
        this.teams = teams;
        this.usage = usage;
    }

    /** Whether the quota leaves room for so many of a job's tasks. */
    boolean allows(Submission job, int tasks) {
        return allows(job, Resources.NONE, tasks);
    }

    /** Whether the quota leaves room for so many of a job's tasks in addition to some other usage. */
    boolean allows(Submission job, Resources otherUsage, int tasks) {
        Settings.Team team = teams.get(job.team());
        Resources before = usage.of(job.team()).plus(otherUsage);
        return team != null && team.withinLimit(before.plus(job.perTask().times(tasks)));
    }

    /** For how many of a job's tasks, up to a maximum, the quota leaves room in addition to some other usage; by binary search. */
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

    /** Counts tasks that the plan allocates. */
    void allocate(Submission job, int tasks) {
        usage.add(job, tasks);
    }

    /** What is withheld from a team's later work for a waiting gang. */
    Resources reserved(String team) {
        return reserved.getOrDefault(team, Resources.NONE);
    }

    /** Withholds a part of a team's quota for a waiting gang. */
    void reserve(String team, Resources amount) {
        reserved.put(team, amount);
    }

    /** What the team's unplaced tasks would add to its usage. */
    Resources unplacedUsage(String team) {
        return unplacedUsage.getOrDefault(team, Resources.NONE);
    }

    /** Counts tasks for which no capacity was found. */
    void addUnplacedUsage(String team, Resources amount) {
        unplacedUsage.merge(team, amount, Resources::plus);
    }
}
