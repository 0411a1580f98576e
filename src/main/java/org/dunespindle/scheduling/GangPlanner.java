package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Places the members of a gang: where there is room, where lower work gives way, and on machines that boot. */
final class GangPlanner {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    private final PreemptionPlanner preemption;

    GangPlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
        this.preemption = new PreemptionPlanner(state);
    }

    /** Places what can be placed of a gang and asks for the rest. */
    void place(JobRecord gang) {
        Submission job = gang.submission();
        int missing = gang.unplacedCount();
        if (!state.teamAllows(job, missing)) {
            state.waitsForNow(gang, "its team's unused limit does not cover the whole gang");
            return;
        }
        ZoneRules zones = zoneChooser.rules(gang);
        List<MachineCapacity> candidates = withImages(gang, state.candidates(job), zones, missing);
        var members = new Members(gang, missing);
        fill(members, state.roomy(job, candidates, zones, true), zones);
        // Lower work gives way before the gang waits for a machine to boot; that machine then takes the lower work.
        if (members.left > 0) {
            members.left = preemption.makeRoom(gang, candidates, zones, members.left);
        }
        if (members.left > 0) {
            fill(members, state.roomy(job, candidates, zones, false), zones);
        }
        if (members.left > 0) {
            String where = zones.only().map(zone -> " in zone " + zone).orElse("");
            state.waitsForNow(gang, "no room for " + members.left + " of " + job.tasks() + " members" + where);
            state.lacks(gang, members.left, zones.only());
            state.addPending(job.team(), job.perTask().times(members.left));
        }
        state.book(gang, members.places);
    }

    /** A gang's members while they are placed. */
    private static final class Members {
        final JobRecord gang;
        final Iterator<Integer> unplaced;
        final Map<Integer, String> places = new LinkedHashMap<>();
        int left;

        Members(JobRecord gang, int missing) {
            this.gang = gang;
            this.unplaced = gang.unplaced(missing).iterator();
            this.left = missing;
        }
    }

    /**
     * A gang starts with its last member, so one fetch delays them all: where machines that have the image can take all of
     * it, if need be by lower work giving way, only those are looked at; otherwise it makes no difference who fetches.
     */
    private List<MachineCapacity> withImages(
            JobRecord gang, List<MachineCapacity> candidates, ZoneRules zones, int missing) {
        Submission job = gang.submission();
        var fetched = new ArrayList<MachineCapacity>();
        int room = 0;
        for (MachineCapacity machine : state.candidatesWithImage(job)) {
            if (machine.host().up() && zones.allows(machine.host())) {
                fetched.add(machine);
                room += room < missing ? Planner.fitCount(job.perTask(), machine.freeFor(gang), missing) : 0;
            }
        }
        return room >= missing && !job.spread() ? fetched : candidates;
    }

    private void fill(Members members, List<MachineCapacity> machines, ZoneRules zones) {
        Submission job = members.gang.submission();
        for (MachineCapacity machine : machines) {
            while (members.left > 0 && machine.fits(job.perTask()) && zones.allows(machine.host())) {
                state.take(job, machine);
                zones.add(machine.host().zone());
                members.left--;
                if (machine.bookable()) {
                    members.places.put(members.unplaced.next(), machine.host().id());
                } else {
                    state.waits(members.gang, "waits for machines that are booting");
                }
            }
        }
    }
}
