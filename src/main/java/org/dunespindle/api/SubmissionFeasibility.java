package org.dunespindle.api;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/** Checks whether a job can ever run in this cell, regardless of the capacity that is free at the moment. */
public final class SubmissionFeasibility {
    private SubmissionFeasibility() {}

    /** Why a job can never run, as text for its user; empty if it can. */
    public static Optional<String> infeasibilityReason(Submission job, List<MachineType> types, Settings settings) {
        Settings.Team team = settings.teams().get(job.team());
        if (team == null) {
            return Optional.of("team " + job.team() + " is unknown");
        }
        Set<String> zones = zonesFor(job, types);
        if (zones.isEmpty()) {
            return Optional.of("a task fits no allowed machine type");
        }
        boolean requiresAllTasks = job.requiresAllTasks();
        if (!team.withinLimit(requiresAllTasks ? job.totalResources() : job.perTask())) {
            return Optional.of("the job needs more than the limit of team " + job.team());
        }
        boolean severalTogether = requiresAllTasks && job.tasks() > 1;
        if (severalTogether && job.sameZone() && job.spread()) {
            return Optional.of("samePlace and apart exclude each other");
        }
        if (severalTogether && job.spread() && zones.size() < 2) {
            return Optional.of("apart needs a second zone, and only "
                    + zones.iterator().next() + " is allowed or has machines that fit");
        }
        return Optional.empty();
    }

    /** Zones in which a machine of an allowed type that fits a task can be rented. */
    private static Set<String> zonesFor(Submission job, List<MachineType> types) {
        var zones = new TreeSet<String>();
        for (MachineType type : types) {
            boolean allowed =
                    job.types().map(names -> names.contains(type.name())).orElse(true);
            if (allowed && job.perTask().fitsIn(type.size())) {
                type.zones().stream()
                        .filter(zone -> job.zone().map(zone::equals).orElse(true))
                        .forEach(zones::add);
            }
        }
        return zones;
    }
}
