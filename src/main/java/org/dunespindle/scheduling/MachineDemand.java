package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Keeps room, or asks for machines, for jobs that are not placed now: gangs that queue and jobs that are expected. */
final class MachineDemand {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    /** How many tasks' worth of room is kept for each expected job. */
    private final Map<String, Integer> kept = new HashMap<>();

    MachineDemand(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** Keeps room that higher jobs will need within seconds from lower work, which would have to give way again. */
    void keepFreeOf(JobRecord lower) {
        for (DemandForecast.ForecastJob phantom : state.snapshot().forecastJobs()) {
            JobRecord expected = phantom.job();
            if (expected.submission().priority().compareTo(lower.submission().priority()) > 0) {
                kept.computeIfAbsent(expected.id(), id -> keepFree(phantom));
            }
        }
    }

    /** Keeps free room on machines that are up for what is likely to come within seconds; tells how many tasks' worth. */
    private int keepFree(DemandForecast.ForecastJob phantom) {
        Submission job = phantom.job().submission();
        int left = phantom.expectedSoon();
        if (left == 0) {
            return 0;
        }
        // Wherever it is: which zone the next job wants, or finds most room in, is not known.
        for (MachineCapacity machine : state.roomy(job, state.candidates(job), new ZoneRules(job), true)) {
            while (left > 0 && machine.fits(job.perTask())) {
                state.keep(job, machine);
                left--;
            }
        }
        return phantom.expectedSoon() - left;
    }

    /**
     * Asks for the machines of a gang that queues behind another of its team. It places nothing before its turn; but if machines were
     * only rented then, each gang of a burst would wait for the boot of its own.
     */
    void ahead(JobRecord gang) {
        Submission job = gang.submission();
        int missing = gang.unplacedCount();
        if (!state.withinLimit(job, state.pending(job.team()), missing)) {
            return; // its turn is not near
        }
        keepRoom(gang, missing, state.candidates(job));
        state.addPending(job.team(), job.totalResources());
    }

    /** Keeps or asks for room for a typical job that has not come yet; it is wanted, but nothing is booked or evicted. */
    void expected(JobRecord phantom) {
        Submission job = phantom.submission();
        int missing = job.tasks() - kept.getOrDefault(phantom.id(), 0);
        if (missing > 0) {
            ZoneRules zones = zoneChooser.rules(phantom);
            keepRoom(phantom, missing, state.roomy(job, state.candidates(job), zones, false));
        }
    }

    /** Keeps room on some machines, in their order, and asks for more where they have too little. */
    private void keepRoom(JobRecord job, int tasks, List<MachineCapacity> machines) {
        ZoneRules zones = zoneChooser.rules(job);
        Resources one = job.submission().perTask();
        int missing = tasks;
        for (MachineCapacity machine : machines) {
            while (missing > 0 && machine.fits(one) && zones.allows(machine.host())) {
                state.keep(job.submission(), machine);
                zones.add(machine.host().zone());
                missing--;
            }
            if (missing == 0) {
                return;
            }
        }
        state.lacks(job, missing, zones.only());
    }
}
