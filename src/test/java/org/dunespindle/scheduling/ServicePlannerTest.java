package org.dunespindle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** Tests where service replicas are placed and when they are moved. */
class ServicePlannerTest {
    private static final Map<String, Settings.Team> TEAMS =
            Map.of("red", new Settings.Team("red", 0, 100, 40, Double.POSITIVE_INFINITY));
    private static final Resources MACHINE = new Resources(24, 2, 144);
    private static final Resources REPLICA = new Resources(2, 0, 8);
    private static final Resources TRAINING = new Resources(21, 2, 100);

    private final List<MachineSnapshot> machines = new ArrayList<>();
    private final Set<String> draining = new HashSet<>();
    private Duration runtime = Duration.ZERO;

    private static JobRecord job(
            int id, JobKind kind, Priority priority, int tasks, Resources perTask, boolean spread) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-%06d".formatted(id))
                        .jobClass("c")
                        .kind(kind)
                        .priority(priority)
                        .tasks(tasks)
                        .perTask(perTask)
                        .spread(spread)
                        .estimate(Duration.ZERO)
                        .build(),
                Instant.ofEpochSecond(id));
    }

    private static JobRecord service(int id, int replicas) {
        return job(id, JobKind.SERVICE, Priority.CRITICAL, replicas, REPLICA, false);
    }

    private void machine(String id, String zone, String... images) {
        machines.add(new MachineSnapshot(id, "m", zone, false, MACHINE, true, true, Set.of(images)));
    }

    private Plan plan(JobRecord... jobs) {
        return snapshot(jobs).machines(machines).plan();
    }

    private SnapshotFixture snapshot(JobRecord... jobs) {
        return new SnapshotFixture(TEAMS)
                .jobs(List.of(jobs))
                .drainingMachines(draining)
                .runtime(runtime);
    }

    private static List<String> placesOf(Plan plan, JobRecord job) {
        return plan.bindings().stream()
                .filter(binding -> binding.job().id().equals(job.id()))
                .flatMap(binding -> binding.machineByTask().values().stream())
                .toList();
    }

    @Test
    void replicasOfOneServiceAreSpreadOverMachinesAndZones() {
        machine("a", "east");
        machine("b", "east");
        machine("c", "west");
        machine("d", "west");
        List<String> places = placesOf(plan(service(1, 4)), service(1, 4));
        assertEquals(Set.of("a", "b", "c", "d"), Set.copyOf(places));
        assertEquals(4, places.size());
    }

    @Test
    void aSecondReplicaIsPlacedWhereTheImageIsAndAThirdElsewhere() {
        machine("a", "east", "image");
        machine("b", "east");
        machine("c", "west");
        machine("d", "west");
        List<String> places = placesOf(plan(service(1, 5)), service(1, 5));
        assertEquals(2, places.stream().filter("a"::equals).count());
        assertEquals(Set.of("a", "b", "c", "d"), Set.copyOf(places));
    }

    @Test
    void theZoneLimitIncludesReplicasThatAreAlreadyAllocated() {
        machine("a", "east");
        machine("b", "east");
        JobRecord job = job(1, JobKind.SERVICE, Priority.CRITICAL, 5, REPLICA, true);
        Plan plan = plan(job);
        assertEquals(3, placesOf(plan, job).size(), "at most half, rounded up, in one zone");
        assertEquals(2, plan.shortfalls().stream().mapToInt(Shortfall::tasks).sum());
        JobRecord three = job.withPlaced(Map.of(0, "a", 1, "b", 2, "a"));
        assertEquals(List.of(), placesOf(plan(three), three));
    }

    @Test
    void servicesShareMachinesAndLeaveOthersToAcceleratorWork() {
        for (String id : List.of("a", "b", "c", "d")) {
            machine(id, "east", "image");
        }
        JobRecord running = service(1, 2).withPlaced(Map.of(0, "a", 1, "b"));
        JobRecord second = service(2, 2);
        assertEquals(Set.of("a", "b"), Set.copyOf(placesOf(plan(running, second), second)));
    }

    @Test
    void aReplicaIsPlacedBesideAcceleratorWorkBeforeItDisplacesAny() {
        machine("a", "east", "image");
        machine("b", "east", "image");
        JobRecord training = job(1, JobKind.GANG, Priority.URGENT, 1, TRAINING, false)
                .withPlaced(Map.of(0, "a"))
                .withGangRunning();
        JobRecord wide = job(3, JobKind.GANG, Priority.URGENT, 1, new Resources(23, 2, 100), false);
        JobRecord replica = service(2, 1);
        Plan plan = plan(training, wide, replica);
        assertEquals(List.of("a"), placesOf(plan, replica));
        assertEquals(List.of("b"), placesOf(plan, wide));
    }

    @Test
    void lowerWorkIsPreemptedAtOnceAndTheReplicaIsNotBoundBefore() {
        machine("a", "east", "image");
        JobRecord low = job(1, JobKind.ARRAY, Priority.LOW, 12, REPLICA, false);
        var places = new HashMap<Integer, String>();
        for (int i = 0; i < 12; i++) {
            places.put(i, "a");
        }
        JobRecord replica = service(2, 1);
        Plan plan = plan(low.withPlaced(places), replica);
        assertEquals(1, plan.evictions().size());
        assertEquals(List.of(), placesOf(plan, replica));
    }

    @Test
    void aReplicaLeavesADrainingMachineOnlyIfThereIsCapacityElsewhere() {
        machine("b", "east", "image");
        draining.add("a");
        JobRecord replica = service(1, 1).withPlaced(Map.of(0, "a"));
        assertEquals(1, plan(replica).moves().size());
        machines.clear();
        assertEquals(List.of(), plan(replica).moves(), "without capacity elsewhere it stays while it can");
    }

    @Test
    void aMachineWithASingleReplicaIsEmptiedAfterAWhile() {
        machine("a", "east", "image");
        machine("b", "east", "image");
        JobRecord alone = service(1, 1).withPlaced(Map.of(0, "a"));
        JobRecord others = service(2, 2).withPlaced(Map.of(0, "b", 1, "b"));
        assertEquals(List.of(), plan(alone, others).moves(), "it has only just started");
        runtime = Duration.ofMinutes(6);
        List<Eviction> moves = plan(alone, others).moves();
        assertEquals(1, moves.size());
        assertEquals("a", moves.get(0).allocation().machineId());
    }

    @Test
    void aCrashLoopingServiceStartsOneReplicaAtATime() {
        machine("a", "east");
        JobRecord faulty = service(1, 6);
        Plan plan = snapshot(faulty).machinesWithoutPools(machines).maxTasks(1).plan();
        assertEquals(1, placesOf(plan, faulty).size());
        assertTrue(plan.waitReasons().containsKey(faulty.id()));
    }
}
