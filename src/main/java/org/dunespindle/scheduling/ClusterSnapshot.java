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
 * Everything a plan depends on.
 *
 * @param projection the jobs, as stored and as expected
 * @param mostTasks how many tasks of an array may be under way at once
 * @param ended tasks whose end is reported but not stored yet: their room is free, their team's use is not
 * @param leftAlone jobs that another controller is placing, or that wait for more: not booked here now
 * @param gangs whether gangs are planned here
 * @param departing machines that are about to be taken away, returned or closed
 * @param elapsed how long tasks have been under way, as far as known here
 */
public record ClusterSnapshot(
        Instant now,
        ProjectedJobs projection,
        List<MachineSnapshot> machines,
        Map<String, Settings.Team> teams,
        Map<String, MachinePool> pools,
        Set<MachinePool> refused,
        ToIntFunction<JobRecord> mostTasks,
        Set<TaskAttempt> ended,
        Set<String> leftAlone,
        boolean gangs,
        Set<String> departing,
        List<DemandForecast.ForecastJob> forecastJobs,
        ServiceLevelObjectives objectives,
        Function<JobAttempt, Duration> elapsed) {
    /** The jobs as this controller expects them to be. */
    public List<JobRecord> jobs() {
        return projection.expected();
    }
}
