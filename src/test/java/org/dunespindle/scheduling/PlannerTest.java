package org.dunespindle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** Tests the planner's decisions about placement, gang queues, preemption, planning order and requested machines. */
class PlannerTest {
    private static final Map<String, Settings.Team> TEAMS = Map.of(
            "red",
            new Settings.Team("red", 0, Double.POSITIVE_INFINITY, 4, 6),
            "blue",
            new Settings.Team("blue", 0, Double.POSITIVE_INFINITY, 2, 9));

    private static final ServiceLevelObjectives OBJECTIVES = new ServiceLevelObjectives(List.of(
            new Settings.Objective("finished", "c", Duration.ofSeconds(900), 0.9, 1),
            new Settings.Objective("finished", "c", Duration.ofSeconds(200), 0.9, 1),
            new Settings.Objective("deadline", "d", Duration.ZERO, 0.9, 1.5),
            new Settings.Objective("deadline", "d", Duration.ZERO, 0.9, 1)));

    /** A job's placement constraints. */
    private record Placement(boolean sameZone, boolean spread, boolean spot) {}

    private static final Placement ANYWHERE = new Placement(false, false, true);

    private static JobRecord job(int id, String team, JobKind kind, Priority priority, int tasks, Placement placement) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-%06d".formatted(id))
                        .jobClass("c")
                        .team(team)
                        .kind(kind)
                        .priority(priority)
                        .tasks(tasks)
                        .sameZone(placement.sameZone)
                        .spread(placement.spread)
                        .spot(placement.spot)
                        .image("i")
                        .estimate(Duration.ofSeconds(10))
                        .build(),
                Instant.ofEpochSecond(id));
    }

    private static MachineSnapshot machine(String id, String zone, boolean spot, int gpus) {
        return new MachineSnapshot(id, "m", zone, spot, new Resources(8, gpus, 8), true, true, Set.of());
    }

    private static Plan plan(List<JobRecord> jobs, List<MachineSnapshot> machines) {
        return snapshot().jobs(jobs).machines(machines).plan();
    }

    private static SnapshotFixture snapshot() {
        return new SnapshotFixture(TEAMS).objectives(OBJECTIVES);
    }

    @Property(seed = "21", tries = 200)
    void noPlanExceedsQuotasOrCapacityOrViolatesZoneConstraints(@ForAll long seed) {
        var random = new Random(seed);
        var jobs = new ArrayList<JobRecord>();
        for (int i = 0; i < 8; i++) {
            boolean sameZone = random.nextBoolean();
            jobs.add(job(
                    i,
                    random.nextBoolean() ? "red" : "blue",
                    JobKind.values()[random.nextInt(JobKind.values().length)],
                    Priority.values()[random.nextInt(4)],
                    1 + random.nextInt(5),
                    new Placement(sameZone, !sameZone && random.nextBoolean(), random.nextBoolean())));
        }
        var machines = new ArrayList<MachineSnapshot>();
        for (int i = 0; i < 5; i++) {
            machines.add(machine(
                    "h" + i, random.nextBoolean() ? "east" : "west", random.nextBoolean(), 1 + random.nextInt(3)));
        }
        for (int round = 0; round < 4; round++) {
            Plan plan = plan(jobs, machines);
            var byId = new LinkedHashMap<String, JobRecord>();
            jobs.forEach(job -> byId.put(job.id(), job));
            plan.bindings()
                    .forEach(binding ->
                            byId.put(binding.job().id(), binding.job().withPlaced(binding.machineByTask())));
            plan.evictions()
                    .forEach(eviction -> byId.computeIfPresent(
                            eviction.victim().id(),
                            (id, job) -> job.withReleased(eviction.allocation().task(), false)));
            jobs.clear();
            jobs.addAll(byId.values());
            assertConstraintsHold(jobs, machines);
        }
    }

    private static void assertConstraintsHold(List<JobRecord> jobs, List<MachineSnapshot> machines) {
        ProjectedJobs.ofStored(jobs)
                .usage()
                .forEach((team, use) -> assertTrue(TEAMS.get(team).withinLimit(use), team + " uses " + use));
        var tasksByMachine = new HashMap<String, Integer>();
        for (JobRecord job : jobs) {
            var zones = new HashMap<String, Integer>();
            job.allocations().forEach(allocation -> {
                MachineSnapshot machine = machines.stream()
                        .filter(candidate -> candidate.id().equals(allocation.machineId()))
                        .findFirst()
                        .orElseThrow();
                tasksByMachine.merge(machine.id(), 1, Integer::sum);
                zones.merge(machine.zone(), 1, Integer::sum);
                assertTrue(job.submission().spot() || !machine.spot(), "spot not allowed");
            });
            assertTrue(!job.submission().sameZone() || zones.size() <= 1, "one zone");
            assertTrue(
                    !job.submission().spread()
                            || zones.values().stream()
                                    .allMatch(
                                            tasks -> tasks <= (job.submission().tasks() + 1) / 2),
                    "apart");
        }
        machines.forEach(machine -> assertTrue(
                tasksByMachine.getOrDefault(machine.id(), 0)
                        <= machine.capacity().gpus(),
                "capacity of " + machine.id()));
    }

    @Test
    void noPlaceholderIsPlacedBeforeTheQuotaCoversTheWholeGang() {
        JobRecord running = job(1, "red", JobKind.ARRAY, Priority.URGENT, 3, ANYWHERE);
        running = running.withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a", 2, "a")));
        Plan plan = plan(
                List.of(running, job(2, "red", JobKind.GANG, Priority.URGENT, 4, ANYWHERE)),
                List.of(machine("a", "east", false, 8)));
        assertEquals(List.of(), plan.bindings());
        assertTrue(plan.waitReasons().get("wk-000002").contains("limit"));
    }

    @Test
    void onlyTheHeadOfATeamsGangQueueIsPlacedAndOtherTeamsAreNotBlocked() {
        Plan plan = plan(
                List.of(
                        job(1, "blue", JobKind.GANG, Priority.NORMAL, 4, ANYWHERE),
                        job(2, "blue", JobKind.GANG, Priority.URGENT, 2, ANYWHERE),
                        job(3, "red", JobKind.GANG, Priority.URGENT, 2, ANYWHERE),
                        job(4, "blue", JobKind.ARRAY, Priority.LOW, 1, ANYWHERE)),
                List.of(machine("a", "east", false, 4)));
        assertTrue(plan.waitReasons().get("wk-000002").contains("behind gang wk-000001"));
        assertEquals(
                List.of("wk-000003", "wk-000001"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    @Test
    void aFullyPlacedGangAndGangsOfOneDoNotBlockTheQueue() {
        JobRecord fullyPlaced = job(1, "blue", JobKind.GANG, Priority.URGENT, 2, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a")));
        Plan plan = plan(
                List.of(
                        fullyPlaced,
                        job(2, "blue", JobKind.GANG, Priority.URGENT, 2, ANYWHERE),
                        job(3, "blue", JobKind.GANG, Priority.URGENT, 1, ANYWHERE)),
                List.of(machine("a", "east", false, 5)));
        assertEquals(
                List.of("wk-000002", "wk-000003"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    @Test
    void lowerWorkIsPreemptedOnOneMachineOnly() {
        JobRecord low = job(1, "blue", JobKind.ARRAY, Priority.LOW, 4, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a", 2, "b", 3, "b")));
        var machines = List.of(machine("a", "east", false, 2), machine("b", "east", false, 2));
        JobRecord gang = job(2, "red", JobKind.GANG, Priority.URGENT, 1, ANYWHERE);
        Plan plan = plan(List.of(low, gang), machines);
        assertEquals(1, plan.evictions().size());
        // While the preempted task is still stopping, nothing else is preempted for the same gang.
        JobRecord stopping =
                low.withTaskStopping(plan.evictions().get(0).allocation().task());
        assertEquals(List.of(), plan(List.of(stopping, gang), machines).evictions());
    }

    private static JobRecord withImage(JobRecord job, String image) {
        Submission submission = job.submission();
        return JobRecord.accepted(
                SubmissionBuilder.submission(submission.id())
                        .jobClass(submission.jobClass())
                        .team(submission.team())
                        .kind(submission.kind())
                        .priority(submission.priority())
                        .tasks(submission.tasks())
                        .perTask(submission.perTask())
                        .types(submission.types())
                        .zone(submission.zone())
                        .sameZone(submission.sameZone())
                        .spread(submission.spread())
                        .spot(submission.spot())
                        .image(image)
                        .imageGb(submission.imageGb())
                        .estimate(submission.estimate())
                        .checkpointInterval(submission.checkpointInterval())
                        .checkpointTime(submission.checkpointTime())
                        .due(submission.due())
                        .build(),
                job.arrived());
    }

    /** Concurrent image fetches share a machine's transfer rate, so a gang would wait longer for its image beside another fetch. */
    @Test
    void aMachineThatFetchesAnotherImageIsRankedLower() {
        JobRecord fetching = withImage(job(1, "red", JobKind.ARRAY, Priority.NORMAL, 1, ANYWHERE), "another")
                .withPlaced(new TreeMap<>(Map.of(0, "a")));
        JobRecord alone = job(2, "blue", JobKind.GANG, Priority.URGENT, 1, ANYWHERE);
        List<MachineSnapshot> machines = List.of(machine("a", "east", false, 3), machine("b", "east", false, 3));
        assertEquals(
                Map.of(0, "b"),
                plan(List.of(fetching, alone), machines).bindings().get(0).machineByTask());
        JobRecord same = withImage(fetching, alone.submission().image()).withPlaced(new TreeMap<>(Map.of(0, "a")));
        assertEquals(
                Map.of(0, "a"),
                plan(List.of(same, alone), machines).bindings().get(0).machineByTask(),
                "one fetch serves both");
    }

    @Test
    void jobsThatMissAllObjectivesAreRankedLast() {
        // The current time is second 1000. The first job arrived at 50 and misses both objectives, although it is also
        // within its team's guarantee; the second can still meet the objective of 900 s.
        JobRecord missesAll = partlyDone(job(50, "blue", JobKind.ARRAY, Priority.LOW, 2, ANYWHERE));
        JobRecord canMeetLater = partlyDone(job(600, "blue", JobKind.ARRAY, Priority.LOW, 3, ANYWHERE));
        Plan plan = plan(List.of(missesAll, canMeetLater), List.of(machine("a", "east", false, 1)));
        assertEquals(
                List.of("wk-000600"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    private static JobRecord partlyDone(JobRecord job) {
        return job.withPlaced(new TreeMap<>(Map.of(0, "gone"))).withReleased(0, true);
    }

    @Test
    void aJobWithADeadlineHasAnObjectiveForEachMultiple() {
        Submission due = SubmissionBuilder.submission("wk-000001")
                .jobClass("d")
                .priority(Priority.LOW)
                .spot(true)
                .image("i")
                .estimate(Duration.ofSeconds(10))
                .due(Optional.of(Duration.ofSeconds(100)))
                .build();
        assertEquals(List.of(Duration.ofSeconds(100), Duration.ofSeconds(150)), OBJECTIVES.all(due));
        assertEquals(
                List.of(Duration.ofSeconds(200), Duration.ofSeconds(900)),
                OBJECTIVES.all(
                        job(1, "red", JobKind.ARRAY, Priority.LOW, 1, ANYWHERE).submission()));
    }

    @Test
    void aStarvingArrayStartsBeforeSmallerOnes() {
        JobRecord large = job(50, "blue", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE);
        JobRecord small = partlyDone(job(990, "blue", JobKind.ARRAY, Priority.LOW, 2, ANYWHERE));
        Plan plan = plan(List.of(large, small), List.of(machine("a", "east", false, 1)));
        assertEquals(
                List.of("wk-000050"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    @Test
    void amongEqualArraysTheLeastWorkGoesFirst() {
        JobRecord large = job(980, "blue", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE);
        JobRecord small = job(990, "blue", JobKind.ARRAY, Priority.LOW, 2, ANYWHERE);
        Plan plan = plan(List.of(large, small), List.of(machine("a", "east", false, 1)));
        assertEquals(
                List.of("wk-000990"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    /**
     * The array has as many allocated tasks as its record can hold. Tasks that have ended free their entries immediately, not only when their
     * termination is stored.
     */
    @Test
    void endedTasksDoNotCountAgainstTheRecordsCapacity() {
        JobRecord full = job(1, "red", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a", 2, "a")));
        var ended = Set.of(
                new TaskAttempt(full.id(), 0, full.allocations().get(0).attemptBase()),
                new TaskAttempt(full.id(), 2, full.allocations().get(0).attemptBase()));
        Plan plan = snapshot()
                .jobs(List.of(full))
                .machinesWithoutPools(List.of(machine("a", "east", false, 8)))
                .maxTasks(3)
                .endedTasks(ended)
                .plan();
        assertEquals(Set.of(3, 4), plan.bindings().get(0).machineByTask().keySet());
    }

    /** Capacity that urgent jobs will need within seconds is not allocated to tasks that would then be preempted. */
    @Test
    void capacityForImminentDemandIsWithheldFromLowerWork() {
        var forecast = new DemandForecast.ForecastJob(
                job(1, "red", JobKind.GANG, Priority.URGENT, 2, new Placement(false, false, false)), 2);
        JobRecord low = job(990, "blue", JobKind.ARRAY, Priority.LOW, 5, ANYWHERE);
        JobRecord equal = job(991, "blue", JobKind.ARRAY, Priority.URGENT, 1, ANYWHERE);
        var machines = List.of(machine("a", "east", false, 4));
        Plan plan = snapshot()
                .jobs(List.of(low, equal))
                .machinesWithoutPools(machines)
                .forecastJobs(List.of(forecast))
                .plan();
        assertEquals(
                List.of(1, 1),
                plan.bindings().stream()
                        .map(binding -> binding.machineByTask().size())
                        .toList());
    }

    /** A job for which this controller has proposed one task, while another controller has stored more tasks. */
    private static ProjectedJob staleProposal(JobRecord job, Map<Integer, String> stored) {
        return new ProjectedJob(job.withPlaced(new TreeMap<>(stored)), job.withPlaced(new TreeMap<>(Map.of(0, "b"))));
    }

    @Test
    void quotaUsedByOthersBesideAStaleProposalCountsForAGang() {
        JobRecord array = job(1, "red", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE);
        JobRecord gang = job(2, "red", JobKind.GANG, Priority.URGENT, 3, ANYWHERE);
        var machines = List.of(machine("a", "east", false, 8), machine("b", "east", false, 8));
        ProjectedJob used = staleProposal(array, Map.of(0, "a", 1, "a", 2, "a", 3, "a"));
        Plan plan = snapshot()
                .jobs(new ProjectedJobs(List.of(used, ProjectedJob.unchanged(gang))))
                .machinesWithoutPools(machines)
                .plan();
        assertTrue(
                plan.bindings().stream().noneMatch(binding -> binding.job().id().equals(gang.id())));
    }

    @Test
    void capacityUsedByOthersBesideAStaleProposalIsNotFree() {
        JobRecord array = job(1, "blue", JobKind.ARRAY, Priority.LOW, 5, ANYWHERE);
        JobRecord other = job(2, "red", JobKind.ARRAY, Priority.LOW, 1, ANYWHERE);
        ProjectedJob full = staleProposal(array, Map.of(0, "a", 1, "a", 2, "a", 3, "a"));
        Plan plan = snapshot()
                .jobs(new ProjectedJobs(List.of(full, ProjectedJob.unchanged(other))))
                .machinesWithoutPools(List.of(machine("a", "east", false, 3)))
                .plan();
        assertTrue(
                plan.bindings().stream().noneMatch(binding -> binding.job().id().equals(other.id())));
    }

    @Test
    void tasksOfEqualPriorityAreNeverPreempted() {
        JobRecord other = job(1, "blue", JobKind.ARRAY, Priority.URGENT, 2, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a")));
        Plan plan = plan(
                List.of(other, job(2, "red", JobKind.GANG, Priority.URGENT, 1, ANYWHERE)),
                List.of(machine("a", "east", false, 2)));
        assertEquals(List.of(), plan.evictions());
        assertEquals(1, plan.shortfalls().size());
    }

    /** If machines were provisioned only when a gang reaches the head of the queue, each gang of a burst would wait for its own machines to boot. */
    @Test
    void machinesAreRequestedBeforeAGangsTurnButNothingIsPlaced() {
        List<JobRecord> gangs = List.of(
                job(1, "red", JobKind.GANG, Priority.URGENT, 2, new Placement(false, false, false)),
                job(2, "red", JobKind.GANG, Priority.URGENT, 3, new Placement(false, false, false)),
                job(3, "red", JobKind.GANG, Priority.URGENT, 4, new Placement(false, false, false)));
        Plan empty = plan(gangs, List.of());
        // Together with the first two, the third gang would exceed the team's limit of six.
        assertEquals(
                List.of("wk-000001 2", "wk-000002 3"),
                empty.shortfalls().stream()
                        .map(shortfall -> shortfall.job().id() + " " + shortfall.tasks())
                        .toList());
        Plan withCapacity = plan(gangs, List.of(machine("h1", "east", false, 4), machine("h2", "east", false, 4)));
        assertEquals(
                List.of("wk-000001"),
                withCapacity.bindings().stream()
                        .map(binding -> binding.job().id())
                        .toList());
        assertEquals(List.of(), withCapacity.shortfalls());
        assertEquals(Set.of("h1", "h2"), withCapacity.wantedMachines());
    }
}
