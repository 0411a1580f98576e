package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Reserves capacity, or requests machines, for jobs that are not placed now: queued gangs and forecast jobs. */
final class MachineDemand {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    /** By forecast job: for how many of its tasks capacity is reserved. */
    private final Map<String, Integer> reservedTasks = new HashMap<>();

    MachineDemand(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** Withholds from lower work what higher jobs will need within seconds, and would otherwise have to preempt again. */
    void reserveForForecast(JobRecord lower) {
        for (DemandForecast.ForecastJob forecast : state.snapshot().forecastJobs()) {
            JobRecord expected = forecast.job();
            if (expected.submission().priority().compareTo(lower.submission().priority()) > 0) {
                reservedTasks.computeIfAbsent(expected.id(), id -> reserveForImminent(forecast));
            }
        }
    }

    /** Reserves free capacity on machines that are up for tasks expected within seconds; returns for how many. */
    private int reserveForImminent(DemandForecast.ForecastJob forecast) {
        Submission job = forecast.job().submission();
        int remaining = forecast.expectedSoon();
        if (remaining == 0) {
            return 0;
        }
        // In any zone: which one the next job requires or chooses is not known.
        for (MachineCapacity machine :
                state.withCapacity(job, state.machines().candidates(job), new ZoneRules(job), true)) {
            while (remaining > 0 && machine.hasCapacity(job.perTask())) {
                state.reserveCapacity(job, machine);
                remaining--;
            }
        }
        return forecast.expectedSoon() - remaining;
    }

    /**
     * Requests the machines of a gang that is queued behind another one of its team. The gang is not placed before its turn; but if machines
     * were only provisioned then, each gang of a burst would wait for its own machines to boot.
     */
    void requestForQueued(JobRecord gang) {
        Submission job = gang.submission();
        int missing = gang.unplacedCount();
        if (!state.quota().allows(job, state.quota().unplacedUsage(job.team()), missing)) {
            return; // its turn is not near
        }
        reserveOrRequest(gang, missing, state.machines().candidates(job));
        state.quota().addUnplacedUsage(job.team(), job.totalResources());
    }

    /** Reserves or requests capacity for a forecast job; nothing is bound or preempted for it. */
    void requestForForecast(JobRecord forecast) {
        Submission job = forecast.submission();
        int missing = job.tasks() - reservedTasks.getOrDefault(forecast.id(), 0);
        if (missing > 0) {
            ZoneRules zones = zoneChooser.rules(forecast);
            reserveOrRequest(
                    forecast, missing, state.withCapacity(job, state.machines().candidates(job), zones, false));
        }
    }

    /** Reserves capacity on some machines, in their order, and requests more where they have too little. */
    private void reserveOrRequest(JobRecord job, int tasks, List<MachineCapacity> machines) {
        ZoneRules zones = zoneChooser.rules(job);
        Resources perTask = job.submission().perTask();
        int missing = tasks;
        for (MachineCapacity machine : machines) {
            while (missing > 0 && machine.hasCapacity(perTask) && zones.allows(machine.snapshot())) {
                state.reserveCapacity(job.submission(), machine);
                zones.addTask(machine.snapshot().zone());
                missing--;
            }
            if (missing == 0) {
                return;
            }
        }
        state.addShortfall(job, missing, zones.requiredZone());
    }
}
