package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Places the members of a gang: on free capacity, then by preempting lower-priority tasks, then on booting machines. */
final class GangPlanner {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    private final PreemptionPlanner preemption;

    GangPlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
        this.preemption = new PreemptionPlanner(state);
    }

    /** Places as many members of a gang as possible, and requests machines for the rest. */
    void place(JobRecord gang) {
        Submission job = gang.submission();
        int missing = gang.unplacedCount();
        if (!state.quota().allows(job, missing)) {
            state.replaceWaitReason(gang, "the remainder of its team's limit does not cover the whole gang");
            return;
        }
        ZoneRules zones = zoneChooser.rules(gang);
        List<MachineCapacity> candidates =
                preferWithImage(gang, state.machines().candidates(job), zones, missing);
        var progress = new GangProgress(gang, missing);
        fill(progress, state.withCapacity(job, candidates, zones, true), zones);
        // Preemption is faster than waiting for a booting machine, on which the preempted tasks can run later.
        if (progress.remaining > 0) {
            progress.remaining = preemption.preemptFor(gang, candidates, zones, progress.remaining);
        }
        if (progress.remaining > 0) {
            fill(progress, state.withCapacity(job, candidates, zones, false), zones);
        }
        if (progress.remaining > 0) {
            String where = zones.requiredZone().map(zone -> " in zone " + zone).orElse("");
            state.replaceWaitReason(
                    gang, "no free capacity for " + progress.remaining + " of " + job.tasks() + " members" + where);
            state.addShortfall(gang, progress.remaining, zones.requiredZone());
            state.quota().addUnplacedUsage(job.team(), job.perTask().times(progress.remaining));
        }
        state.bind(gang, progress.places);
    }

    /** Placement progress of one gang. */
    private static final class GangProgress {
        final JobRecord gang;
        final Iterator<Integer> unplaced;
        final Map<Integer, String> places = new LinkedHashMap<>();
        int remaining;

        GangProgress(JobRecord gang, int missing) {
            this.gang = gang;
            this.unplaced = gang.unplaced(missing).iterator();
            this.remaining = missing;
        }
    }

    /**
     * Restricts the candidates to machines that have the gang's image, if these have capacity for the whole gang, including capacity that
     * preemption would free. A gang starts only when its last member is ready, so a single image fetch delays all members; if any member has
     * to fetch the image, it makes no difference which ones do.
     */
    private List<MachineCapacity> preferWithImage(
            JobRecord gang, List<MachineCapacity> candidates, ZoneRules zones, int missing) {
        Submission job = gang.submission();
        var withImage = new ArrayList<MachineCapacity>();
        int capacity = 0;
        for (MachineCapacity machine : state.machines().candidatesWithImage(job)) {
            if (machine.snapshot().up() && zones.allows(machine.snapshot())) {
                withImage.add(machine);
                capacity += capacity < missing
                        ? Planner.fitCount(job.perTask(), machine.freeAfterPreemptionBy(gang), missing)
                        : 0;
            }
        }
        return capacity >= missing && !job.spread() ? withImage : candidates;
    }

    private void fill(GangProgress progress, List<MachineCapacity> machines, ZoneRules zones) {
        Submission job = progress.gang.submission();
        for (MachineCapacity machine : machines) {
            while (progress.remaining > 0 && machine.hasCapacity(job.perTask()) && zones.allows(machine.snapshot())) {
                state.allocate(job, machine);
                zones.addTask(machine.snapshot().zone());
                progress.remaining--;
                if (machine.schedulable()) {
                    progress.places.put(
                            progress.unplaced.next(), machine.snapshot().id());
                } else {
                    state.addWaitReason(progress.gang, "waits for machines that are booting");
                }
            }
        }
    }
}
