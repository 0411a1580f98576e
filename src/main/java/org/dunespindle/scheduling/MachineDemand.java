package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Reserves capacity or requests machines for jobs that are not placed by this plan: queued gangs and forecast jobs. */
final class MachineDemand {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    /** Number of tasks with reserved capacity, by id of the forecast job. */
    private final Map<String, Integer> reservedTasks = new HashMap<>();

    MachineDemand(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** Withholds capacity from a job for higher-priority tasks that are expected within seconds and would otherwise preempt it. */
    void reserveForForecast(JobRecord lowerPriority) {
        for (DemandForecast.ForecastJob forecast : state.snapshot().forecastJobs()) {
            JobRecord expected = forecast.job();
            if (expected.submission()
                            .priority()
                            .compareTo(lowerPriority.submission().priority())
                    > 0) {
                reservedTasks.computeIfAbsent(expected.id(), id -> reserveForImminent(forecast));
            }
        }
    }

    /** Reserves free capacity on running machines for tasks that are expected within seconds; returns the number of these tasks. */
    private int reserveForImminent(DemandForecast.ForecastJob forecast) {
        Submission job = forecast.job().submission();
        int remaining = forecast.expectedSoon();
        if (remaining == 0) {
            return 0;
        }
        // The zone of the next job is not known yet, so any zone is used.
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
     * Requests machines for a gang that is queued behind another gang of its team. The gang is placed only once it is at the head of the queue;
     * if its machines were provisioned only then, each gang of a burst would wait for its own machines to boot.
     */
    void requestForQueued(JobRecord gang) {
        Submission job = gang.submission();
        int missing = gang.unplacedCount();
        if (!state.quota().allows(job, state.quota().unplacedUsage(job.team()), missing)) {
            return; // the quota does not cover it together with the gangs ahead of it
        }
        reserveOrRequest(gang, missing, state.machines().candidates(job));
        state.quota().addUnplacedUsage(job.team(), job.totalResources());
    }

    /** Reserves or requests capacity for a forecast job, without binding or preempting any task. */
    void requestForForecast(JobRecord forecast) {
        Submission job = forecast.submission();
        int missing = job.tasks() - reservedTasks.getOrDefault(forecast.id(), 0);
        if (missing > 0) {
            ZoneRules zones = zoneChooser.rules(forecast);
            reserveOrRequest(
                    forecast, missing, state.withCapacity(job, state.machines().candidates(job), zones, false));
        }
    }

    /** Reserves capacity on the given machines, in order, and requests machines for the tasks that do not fit. */
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
