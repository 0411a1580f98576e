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
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** Decisions as a pure function of a snapshot. */
class PlannerTest {
    private static final Map<String, Settings.Team> TEAMS = Map.of(
            "red",
            new Settings.Team("red", 0, Double.POSITIVE_INFINITY, 4, 6),
            "blue",
            new Settings.Team("blue", 0, Double.POSITIVE_INFINITY, 2, 9));

    private static final ServiceLevelObjectives TARGETS = new ServiceLevelObjectives(List.of(
            new Settings.Objective("finished", "c", Duration.ofSeconds(900), 0.9, 1),
            new Settings.Objective("finished", "c", Duration.ofSeconds(200), 0.9, 1),
            new Settings.Objective("deadline", "d", Duration.ZERO, 0.9, 1.5),
            new Settings.Objective("deadline", "d", Duration.ZERO, 0.9, 1)));

    /** Where a job may go. */
    private record Where(boolean sameZone, boolean spread, boolean spot) {}

    private static final Where ANYWHERE = new Where(false, false, true);

    private static JobRecord job(int id, String team, JobKind shape, Priority priority, int tasks, Where where) {
        return JobRecord.accepted(
                new Submission(
                        "wk-%06d".formatted(id),
                        "c",
                        team,
                        shape,
                        priority,
                        tasks,
                        new Resources(1, 1, 1),
                        Optional.empty(),
                        Optional.empty(),
                        where.sameZone,
                        where.spread,
                        where.spot,
                        "i",
                        1,
                        Duration.ofSeconds(10),
                        Duration.ZERO,
                        Duration.ZERO,
                        Optional.empty()),
                Instant.ofEpochSecond(id));
    }

    private static MachineSnapshot host(String id, String zone, boolean spot, int gpus) {
        return new MachineSnapshot(id, "m", zone, spot, new Resources(8, gpus, 8), true, true, Set.of());
    }

    private static Plan plan(List<JobRecord> jobs, List<MachineSnapshot> hosts) {
        var places = new HashMap<String, MachinePool>();
        hosts.forEach(
                machine -> places.put(machine.id(), new MachinePool(machine.type(), machine.zone(), machine.spot())));
        return Planner.plan(snapshot(ProjectedJobs.ofStored(jobs), hosts, places));
    }

    private static ClusterSnapshot snapshot(
            ProjectedJobs jobs, List<MachineSnapshot> hosts, Map<String, MachinePool> places) {
        return new ClusterSnapshot(
                Instant.ofEpochSecond(1000),
                jobs,
                hosts,
                TEAMS,
                places,
                Set.of(),
                job -> 100,
                Set.of(),
                Set.of(),
                true,
                Set.of(),
                List.of(),
                TARGETS,
                p -> Duration.ZERO);
    }

    @Property(seed = "21", tries = 200)
    void noPlanBreaksARule(@ForAll long seed) {
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
                    new Where(sameZone, !sameZone && random.nextBoolean(), random.nextBoolean())));
        }
        var hosts = new ArrayList<MachineSnapshot>();
        for (int i = 0; i < 5; i++) {
            hosts.add(
                    host("h" + i, random.nextBoolean() ? "east" : "west", random.nextBoolean(), 1 + random.nextInt(3)));
        }
        for (int round = 0; round < 4; round++) {
            Plan plan = plan(jobs, hosts);
            var byId = new LinkedHashMap<String, JobRecord>();
            jobs.forEach(job -> byId.put(job.id(), job));
            plan.bindings()
                    .forEach(binding ->
                            byId.put(binding.job().id(), binding.job().withPlaced(binding.places())));
            plan.evictions()
                    .forEach(eviction -> byId.computeIfPresent(
                            eviction.victim().id(),
                            (id, job) -> job.withReleased(eviction.allocation().task(), false)));
            jobs.clear();
            jobs.addAll(byId.values());
            check(jobs, hosts);
        }
    }

    private static void check(List<JobRecord> jobs, List<MachineSnapshot> hosts) {
        ProjectedJobs.ofStored(jobs)
                .use()
                .forEach((team, use) -> assertTrue(TEAMS.get(team).withinLimit(use), team + " uses " + use));
        var room = new HashMap<String, Integer>();
        for (JobRecord job : jobs) {
            var zones = new HashMap<String, Integer>();
            job.allocations().forEach(allocation -> {
                MachineSnapshot machine = hosts.stream()
                        .filter(x -> x.id().equals(allocation.machineId()))
                        .findFirst()
                        .orElseThrow();
                room.merge(machine.id(), 1, Integer::sum);
                zones.merge(machine.zone(), 1, Integer::sum);
                assertTrue(job.submission().spot() || !machine.spot(), "spot not allowed");
            });
            assertTrue(!job.submission().sameZone() || zones.size() <= 1, "one zone");
            assertTrue(
                    !job.submission().spread()
                            || zones.values().stream()
                                    .allMatch(n -> n <= (job.submission().tasks() + 1) / 2),
                    "apart");
        }
        hosts.forEach(machine ->
                assertTrue(room.getOrDefault(machine.id(), 0) <= machine.size().gpus(), "room on " + machine.id()));
    }

    @Test
    void noPlaceholderBeforeTheLimitCoversTheWholeGang() {
        JobRecord running = job(1, "red", JobKind.ARRAY, Priority.URGENT, 3, ANYWHERE);
        running = running.withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a", 2, "a")));
        Plan plan = plan(
                List.of(running, job(2, "red", JobKind.GANG, Priority.URGENT, 4, ANYWHERE)),
                List.of(host("a", "east", false, 8)));
        assertEquals(List.of(), plan.bindings());
        assertTrue(plan.reasons().get("wk-000002").contains("limit"));
    }

    @Test
    void oneGangPerTeamIsInPlacementAndOthersGoOn() {
        Plan plan = plan(
                List.of(
                        job(1, "blue", JobKind.GANG, Priority.NORMAL, 4, ANYWHERE),
                        job(2, "blue", JobKind.GANG, Priority.URGENT, 2, ANYWHERE),
                        job(3, "red", JobKind.GANG, Priority.URGENT, 2, ANYWHERE),
                        job(4, "blue", JobKind.ARRAY, Priority.LOW, 1, ANYWHERE)),
                List.of(host("a", "east", false, 4)));
        assertTrue(plan.reasons().get("wk-000002").contains("behind gang wk-000001"));
        assertEquals(
                List.of("wk-000003", "wk-000001"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    @Test
    void aFullyBookedGangAndGangsOfOneDoNotHoldUpTheQueue() {
        JobRecord booked = job(1, "blue", JobKind.GANG, Priority.URGENT, 2, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a")));
        Plan plan = plan(
                List.of(
                        booked,
                        job(2, "blue", JobKind.GANG, Priority.URGENT, 2, ANYWHERE),
                        job(3, "blue", JobKind.GANG, Priority.URGENT, 1, ANYWHERE)),
                List.of(host("a", "east", false, 5)));
        assertEquals(
                List.of("wk-000002", "wk-000003"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    @Test
    void lowerWorkGivesWayOnOneMachineOnly() {
        JobRecord low = job(1, "blue", JobKind.ARRAY, Priority.LOW, 4, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a", 2, "b", 3, "b")));
        var hosts = List.of(host("a", "east", false, 2), host("b", "east", false, 2));
        JobRecord gang = job(2, "red", JobKind.GANG, Priority.URGENT, 1, ANYWHERE);
        Plan plan = plan(List.of(low, gang), hosts);
        assertEquals(1, plan.evictions().size());
        // While the stopped task has not left, nothing else is emptied for the same gang.
        JobRecord stopping =
                low.withTaskStopping(plan.evictions().get(0).allocation().task());
        assertEquals(List.of(), plan(List.of(stopping, gang), hosts).evictions());
    }

    private static JobRecord withImage(JobRecord job, String image) {
        Submission submission = job.submission();
        return JobRecord.accepted(
                new Submission(
                        submission.id(),
                        submission.jobClass(),
                        submission.team(),
                        submission.kind(),
                        submission.priority(),
                        submission.tasks(),
                        submission.perTask(),
                        submission.types(),
                        submission.zone(),
                        submission.sameZone(),
                        submission.spread(),
                        submission.spot(),
                        image,
                        submission.imageGb(),
                        submission.estimate(),
                        submission.checkpointEvery(),
                        submission.checkpointTime(),
                        submission.due()),
                job.arrived());
    }

    /** Fetches of several images share a machine's rate: without this a gang waited for its image beside others' fetches. */
    @Test
    void aMachineThatFetchesAnotherImageComesLater() {
        JobRecord fetching = withImage(job(1, "red", JobKind.ARRAY, Priority.NORMAL, 1, ANYWHERE), "another")
                .withPlaced(new TreeMap<>(Map.of(0, "a")));
        JobRecord alone = job(2, "blue", JobKind.GANG, Priority.URGENT, 1, ANYWHERE);
        List<MachineSnapshot> hosts = List.of(host("a", "east", false, 3), host("b", "east", false, 3));
        assertEquals(
                Map.of(0, "b"),
                plan(List.of(fetching, alone), hosts).bindings().get(0).places());
        JobRecord same = withImage(fetching, alone.submission().image()).withPlaced(new TreeMap<>(Map.of(0, "a")));
        assertEquals(
                Map.of(0, "a"),
                plan(List.of(same, alone), hosts).bindings().get(0).places(),
                "one fetch serves both");
    }

    @Test
    void workThatCanMeetNoTimeAnyMoreLetsTheOthersGoFirst() {
        // The first is within its team's guarantee besides. Now is second 1000: it came at 50 and is past both times,
        // the second can still meet 900 s.
        JobRecord lost = begun(job(50, "blue", JobKind.ARRAY, Priority.LOW, 2, ANYWHERE));
        JobRecord open = begun(job(600, "blue", JobKind.ARRAY, Priority.LOW, 3, ANYWHERE));
        Plan plan = plan(List.of(lost, open), List.of(host("a", "east", false, 1)));
        assertEquals(
                List.of("wk-000600"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    private static JobRecord begun(JobRecord job) {
        return job.withPlaced(new TreeMap<>(Map.of(0, "gone"))).withReleased(0, true);
    }

    @Test
    void aDeadlineCountsByAllMultiplesThatAreAimedAt() {
        Submission due = new Submission(
                "wk-000001",
                "d",
                "red",
                JobKind.ARRAY,
                Priority.LOW,
                1,
                new Resources(1, 1, 1),
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                true,
                "i",
                1,
                Duration.ofSeconds(10),
                Duration.ZERO,
                Duration.ZERO,
                Optional.of(Duration.ofSeconds(100)));
        assertEquals(List.of(Duration.ofSeconds(100), Duration.ofSeconds(150)), TARGETS.all(due));
        assertEquals(
                List.of(Duration.ofSeconds(200), Duration.ofSeconds(900)),
                TARGETS.all(
                        job(1, "red", JobKind.ARRAY, Priority.LOW, 1, ANYWHERE).submission()));
    }

    @Test
    void anArrayThatHasWaitedLongBeginsBeforeSmallerOnes() {
        JobRecord large = job(50, "blue", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE);
        JobRecord small = begun(job(990, "blue", JobKind.ARRAY, Priority.LOW, 2, ANYWHERE));
        Plan plan = plan(List.of(large, small), List.of(host("a", "east", false, 1)));
        assertEquals(
                List.of("wk-000050"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    @Test
    void whenNotAllCanMeetTheirTimeTheLeastWorkGoesFirst() {
        JobRecord large = job(980, "blue", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE);
        JobRecord small = job(990, "blue", JobKind.ARRAY, Priority.LOW, 2, ANYWHERE);
        Plan plan = plan(List.of(large, small), List.of(host("a", "east", false, 1)));
        assertEquals(
                List.of("wk-000990"),
                plan.bindings().stream().map(binding -> binding.job().id()).toList());
    }

    /**
     * An array with as many tasks under way as its record takes: those that have ended make place at once, not when their end is stored
     * by itself.
     */
    @Test
    void endedTasksDoNotCountAgainstTheRecord() {
        JobRecord full = job(1, "red", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a", 2, "a")));
        var ended = Set.of(
                new TaskAttempt(full.id(), 0, full.allocations().get(0).attemptBase()),
                new TaskAttempt(full.id(), 2, full.allocations().get(0).attemptBase()));
        Plan plan = Planner.plan(new ClusterSnapshot(
                Instant.ofEpochSecond(1000),
                ProjectedJobs.ofStored(List.of(full)),
                List.of(host("a", "east", false, 8)),
                TEAMS,
                Map.of(),
                Set.of(),
                job -> 3,
                ended,
                Set.of(),
                true,
                Set.of(),
                List.of(),
                TARGETS,
                p -> Duration.ZERO));
        assertEquals(Set.of(3, 4), plan.bindings().get(0).places().keySet());
    }

    /** Room that urgent jobs will need within seconds is not filled with work that would have to give way again. */
    @Test
    void roomForWhatComesWithinSecondsIsKeptFromLowerWork() {
        var phantom = new DemandForecast.ForecastJob(
                job(1, "red", JobKind.GANG, Priority.URGENT, 2, new Where(false, false, false)), 2);
        JobRecord low = job(990, "blue", JobKind.ARRAY, Priority.LOW, 5, ANYWHERE);
        JobRecord equal = job(991, "blue", JobKind.ARRAY, Priority.URGENT, 1, ANYWHERE);
        var hosts = List.of(host("a", "east", false, 4));
        Plan plan = Planner.plan(new ClusterSnapshot(
                Instant.ofEpochSecond(1000),
                ProjectedJobs.ofStored(List.of(low, equal)),
                hosts,
                TEAMS,
                Map.of(),
                Set.of(),
                job -> 100,
                Set.of(),
                Set.of(),
                true,
                Set.of(),
                List.of(phantom),
                TARGETS,
                p -> Duration.ZERO));
        assertEquals(
                List.of(1, 1),
                plan.bindings().stream().map(binding -> binding.places().size()).toList());
    }

    /** A job of which this controller proposed one task, while another stored more of it. */
    private static ProjectedJob overtaken(JobRecord job, Map<Integer, String> stored) {
        return new ProjectedJob(job.withPlaced(new TreeMap<>(stored)), job.withPlaced(new TreeMap<>(Map.of(0, "b"))));
    }

    @Test
    void aGangWaitsForTheLimitThatOthersUsedUnseenByAnOwnProposal() {
        JobRecord array = job(1, "red", JobKind.ARRAY, Priority.LOW, 9, ANYWHERE);
        JobRecord gang = job(2, "red", JobKind.GANG, Priority.URGENT, 3, ANYWHERE);
        var hosts = List.of(host("a", "east", false, 8), host("b", "east", false, 8));
        ProjectedJob used = overtaken(array, Map.of(0, "a", 1, "a", 2, "a", 3, "a"));
        Plan plan =
                Planner.plan(snapshot(new ProjectedJobs(List.of(used, ProjectedJob.unchanged(gang))), hosts, Map.of()));
        assertTrue(
                plan.bindings().stream().noneMatch(binding -> binding.job().id().equals(gang.id())));
    }

    @Test
    void roomThatOthersFilledUnseenByAnOwnProposalIsNotFree() {
        JobRecord array = job(1, "blue", JobKind.ARRAY, Priority.LOW, 5, ANYWHERE);
        JobRecord other = job(2, "red", JobKind.ARRAY, Priority.LOW, 1, ANYWHERE);
        ProjectedJob full = overtaken(array, Map.of(0, "a", 1, "a", 2, "a", 3, "a"));
        Plan plan = Planner.plan(snapshot(
                new ProjectedJobs(List.of(full, ProjectedJob.unchanged(other))),
                List.of(host("a", "east", false, 3)),
                Map.of()));
        assertTrue(
                plan.bindings().stream().noneMatch(binding -> binding.job().id().equals(other.id())));
    }

    @Test
    void equalPriorityNeverGivesWay() {
        JobRecord other = job(1, "blue", JobKind.ARRAY, Priority.URGENT, 2, ANYWHERE)
                .withPlaced(new TreeMap<>(Map.of(0, "a", 1, "a")));
        Plan plan = plan(
                List.of(other, job(2, "red", JobKind.GANG, Priority.URGENT, 1, ANYWHERE)),
                List.of(host("a", "east", false, 2)));
        assertEquals(List.of(), plan.evictions());
        assertEquals(1, plan.shortfalls().size());
    }

    /** Were machines rented only when a gang's turn has come, each gang of a burst would wait for the boot of its own. */
    @Test
    void machinesAreAskedForAheadOfAGangsTurnButNothingIsPlaced() {
        List<JobRecord> gangs = List.of(
                job(1, "red", JobKind.GANG, Priority.URGENT, 2, new Where(false, false, false)),
                job(2, "red", JobKind.GANG, Priority.URGENT, 3, new Where(false, false, false)),
                job(3, "red", JobKind.GANG, Priority.URGENT, 4, new Where(false, false, false)));
        Plan empty = plan(gangs, List.of());
        // The third would be beyond the team's limit of six together with those before it.
        assertEquals(
                List.of("wk-000001 2", "wk-000002 3"),
                empty.shortfalls().stream()
                        .map(g -> g.job().id() + " " + g.tasks())
                        .toList());
        Plan roomy = plan(gangs, List.of(host("h1", "east", false, 4), host("h2", "east", false, 4)));
        assertEquals(
                List.of("wk-000001"),
                roomy.bindings().stream().map(binding -> binding.job().id()).toList());
        assertEquals(List.of(), roomy.shortfalls());
        assertEquals(Set.of("h1", "h2"), roomy.wantedMachines());
    }
}
