package org.dunespindle.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecord;

/** Builds the snapshot of a leader; inputs that a test does not set are empty. */
final class SnapshotFixture {
    private static final Instant NOW = Instant.ofEpochSecond(1000);
    private static final int DEFAULT_MAX_TASKS = 100;

    private final Map<String, Settings.Team> teams;
    private ProjectedJobs jobs = ProjectedJobs.ofStored(List.of());
    private List<MachineSnapshot> machines = List.of();
    private Map<String, MachinePool> pools = Map.of();
    private int maxTasks = DEFAULT_MAX_TASKS;
    private Set<TaskAttempt> endedTasks = Set.of();
    private Set<String> drainingMachines = Set.of();
    private List<DemandForecast.ForecastJob> forecastJobs = List.of();
    private ServiceLevelObjectives objectives = new ServiceLevelObjectives(List.of());
    private Duration runtime = Duration.ZERO;

    SnapshotFixture(Map<String, Settings.Team> teams) {
        this.teams = teams;
    }

    /** Sets jobs without pending proposals. */
    SnapshotFixture jobs(List<JobRecord> stored) {
        return jobs(ProjectedJobs.ofStored(stored));
    }

    SnapshotFixture jobs(ProjectedJobs projected) {
        jobs = projected;
        return this;
    }

    /** Sets machines without their pools, so that allocations on them count in no zone. */
    SnapshotFixture machinesWithoutPools(List<MachineSnapshot> snapshots) {
        machines = snapshots;
        pools = Map.of();
        return this;
    }

    SnapshotFixture machines(List<MachineSnapshot> snapshots) {
        var known = new HashMap<String, MachinePool>();
        snapshots.forEach(
                machine -> known.put(machine.id(), new MachinePool(machine.type(), machine.zone(), machine.spot())));
        machines = snapshots;
        pools = known;
        return this;
    }

    /** Sets how many tasks of a job may be allocated at once. */
    SnapshotFixture maxTasks(int count) {
        maxTasks = count;
        return this;
    }

    SnapshotFixture endedTasks(Set<TaskAttempt> attempts) {
        endedTasks = attempts;
        return this;
    }

    SnapshotFixture drainingMachines(Set<String> ids) {
        drainingMachines = ids;
        return this;
    }

    SnapshotFixture forecastJobs(List<DemandForecast.ForecastJob> forecast) {
        forecastJobs = forecast;
        return this;
    }

    SnapshotFixture objectives(ServiceLevelObjectives serviceLevelObjectives) {
        objectives = serviceLevelObjectives;
        return this;
    }

    /** Sets the running time of every allocated task. */
    SnapshotFixture runtime(Duration duration) {
        runtime = duration;
        return this;
    }

    Plan plan() {
        return Planner.plan(new ClusterSnapshot(
                NOW,
                jobs,
                machines,
                teams,
                pools,
                Set.of(),
                job -> maxTasks,
                endedTasks,
                Set.of(),
                true,
                drainingMachines,
                forecastJobs,
                objectives,
                attempt -> runtime));
    }
}
