package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Places the members of a gang: on free capacity, where lower work can be preempted, and on booting machines. */
final class GangPlanner {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    private final PreemptionPlanner preemption;

    GangPlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
        this.preemption = new PreemptionPlanner(state);
    }

    /** Places what can be placed of a gang, and requests machines for the rest. */
    void place(JobRecord gang) {
        Submission job = gang.submission();
        int missing = gang.unplacedCount();
        if (!state.quota().allows(job, missing)) {
            state.replaceWaitReason(gang, "its team's unused limit does not cover the whole gang");
            return;
        }
        ZoneRules zones = zoneChooser.rules(gang);
        List<MachineCapacity> candidates =
                preferWithImage(gang, state.machines().candidates(job), zones, missing);
        var progress = new GangProgress(gang, missing);
        fill(progress, state.withCapacity(job, candidates, zones, true), zones);
        // Preempting lower work is faster than waiting for a machine to boot; that machine then takes the lower work.
        if (progress.remaining > 0) {
            progress.remaining = preemption.preemptFor(gang, candidates, zones, progress.remaining);
        }
        if (progress.remaining > 0) {
            fill(progress, state.withCapacity(job, candidates, zones, false), zones);
        }
        if (progress.remaining > 0) {
            String where = zones.requiredZone().map(zone -> " in zone " + zone).orElse("");
            state.replaceWaitReason(
                    gang, "no room for " + progress.remaining + " of " + job.tasks() + " members" + where);
            state.addShortfall(gang, progress.remaining, zones.requiredZone());
            state.quota().addUnplacedUsage(job.team(), job.perTask().times(progress.remaining));
        }
        state.bind(gang, progress.places);
    }

    /** The state of one gang while its members are placed. */
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
     * A gang starts with its last member, so a single image fetch delays them all. Where machines that have the image have capacity for the
     * whole gang, if need be by preemption, only those are candidates; otherwise it makes no difference which members fetch.
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
