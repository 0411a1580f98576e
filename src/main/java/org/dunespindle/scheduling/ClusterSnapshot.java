package org.dunespindle.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecord;

/**
 * The complete input of a plan.
 *
 * @param projection the active jobs, as stored and as projected
 * @param machines the machines that tasks may be planned on
 * @param teams the teams' quotas and guarantees, by name
 * @param pools the pool of each known machine, by machine id
 * @param refusedPools pools for which the cloud has recently refused machines
 * @param maxAllocatedTasks how many tasks of a job may be allocated at once
 * @param endedTasks task attempts whose termination is reported but not stored: their capacity is free, but they still count against the quota
 * @param deferredJobs ids of jobs whose placement this controller defers
 * @param plansGangs whether this controller plans gangs, as only the leader does
 * @param drainingMachines ids of machines that are draining or about to be terminated
 * @param forecastJobs the forecast demand, planned after all real jobs
 * @param runtime how long a job's attempt has been running, as observed by this controller
 */
public record ClusterSnapshot(
        Instant now,
        ProjectedJobs projection,
        List<MachineSnapshot> machines,
        Map<String, Settings.Team> teams,
        Map<String, MachinePool> pools,
        Set<MachinePool> refusedPools,
        ToIntFunction<JobRecord> maxAllocatedTasks,
        Set<TaskAttempt> endedTasks,
        Set<String> deferredJobs,
        boolean plansGangs,
        Set<String> drainingMachines,
        List<DemandForecast.ForecastJob> forecastJobs,
        ServiceLevelObjectives objectives,
        Function<JobAttempt, Duration> runtime) {
    /** The projected records of the active jobs. */
    public List<JobRecord> jobs() {
        return projection.records();
    }
}
