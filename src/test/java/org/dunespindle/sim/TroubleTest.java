package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Shape;
import org.dunespindle.protocol.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What is checked at a day's end, each trouble by itself, with whole controllers in virtual time. */
class TroubleTest {
    private static String hosts(World world) {
        return world.admin(0, "GET", "/v1/hosts", "")
                .join()
                .body()
                .path("hosts")
                .toString();
    }

    @ParameterizedTest
    @ValueSource(longs = {71, 72, 73})
    void aMachineThatTakesNoCommandsIsClosedReturnedAndReplaced(long seed) {
        var world = new World(seed);
        List<String> ids = WorldTest.submitMix(world, 14);
        world.sim.run(Duration.ofSeconds(9));
        WorkerStandIn deaf = world.worker((int) seed % 3);
        deaf.oneWay(true);
        world.sim.run(Duration.ofSeconds(60));
        assertTrue(deaf.dead(), "its reports alone kept it");
        world.sim.run(Duration.ofSeconds(300));
        WorldTest.assertAllDone(world, ids);
    }

    @Test
    void nothingIsBookedOnAMachineThatOnlyReports() {
        var world = new World(74);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 2, false, false));
        world.sim.run(Duration.ofSeconds(20));
        WorkerStandIn deaf = world.worker(0);
        deaf.oneWay(true);
        world.sim.run(Duration.ofSeconds(33)); // its lease is over by now and its tasks are gone, but its reports go on
        world.submit(WorldTest.job("wk-000002", "blue", Shape.ARRAY, 6, false, false));
        world.sim.run(Duration.ofSeconds(36));
        assertTrue(
                world
                        .admin(0, "GET", "/v1/jobs/wk-000002", "")
                        .join()
                        .body()
                        .path("places")
                        .findValuesAsText("host")
                        .stream()
                        .noneMatch(deaf.id()::equals));
        world.sim.run(Duration.ofSeconds(120));
        WorldTest.assertAllDone(world, List.of("wk-000002"));
    }

    @ParameterizedTest
    @ValueSource(longs = {81, 82, 83, 84})
    void lateCopiesOfReportsProveNothing(long seed) {
        var world = new World(seed);
        world.lateCopies = 2;
        List<String> ids = WorldTest.submitMix(world, 12);
        for (int n = 0; n < 3; n++) {
            int node = n;
            world.sim.after(12_000L + 4000L * n, () -> world.crash(node, Duration.ofMillis(300)));
        }
        world.sim.after(20_000, () -> world.die(world.worker((int) seed % 5)));
        world.sim.run(Duration.ofSeconds(300));
        WorldTest.assertAllDone(world, ids);
        assertEquals(List.of(), world.alive().stream().map(WorkerStandIn::id).toList());
        assertEquals("[]", hosts(world), "copies of reports rebuilt machines that were returned");
    }

    @Test
    void copiesDoNotKeepADeadMachine() {
        var world = new World(85);
        world.lateCopies = 3;
        world.latestCopy = Duration.ofSeconds(40);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 1, false, false));
        world.sim.run(Duration.ofSeconds(40));
        WorkerStandIn lost = world.alive().stream()
                .filter(w -> w.tasks().iterator().hasNext())
                .findFirst()
                .orElseThrow();
        world.die(lost);
        world.sim.run(Duration.ofSeconds(75));
        assertTrue(
                world.alive().stream().anyMatch(w -> w.tasks().iterator().hasNext()),
                "the task runs elsewhere while copies of its machine's reports still come");
        assertEquals(List.of(), world.broken);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void workersLeaveAControllerThatReachesNobodyElse(int node) {
        var world = new World(91 + node);
        for (int i = 0; i < 6; i++) {
            world.submit(WorldTest.job(
                    "wk-%06d".formatted(i), i < 3 ? "red" : "blue", Shape.SERVICE, 1 + i % 2, false, false));
        }
        world.sim.run(Duration.ofSeconds(30));
        List<WorkerStandIn> all = world.alive();
        world.sim.after(100, () -> world.isolatedNode = node);
        world.sim.run(Duration.ofSeconds(75));
        world.isolatedNode = -1;
        world.sim.run(Duration.ofSeconds(100));
        assertEquals(List.of(), world.broken);
        assertEquals(
                List.of(),
                all.stream().filter(w -> w.session() > 1).map(WorkerStandIn::id).toList(),
                "leases that ran out");
    }

    /** The workers' lease is 10 s: when the first controller is back, too little is left of it to leave the others' machines to them first. */
    @ParameterizedTest
    @ValueSource(longs = {93, 94, 95, 96, 97, 98})
    void workersOutliveACrashOfAllControllers(long seed) {
        var world = new World(seed, 7, 10); // a record each, so that they hash to different controllers
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 8, false, false));
        world.submit(WorldTest.job("wk-000002", "blue", Shape.SERVICE, 4, false, false));
        world.sim.run(Duration.ofSeconds(30));
        List<WorkerStandIn> all = world.alive();
        for (int n = 0; n < 3; n++) {
            world.crash(n, n == 0 ? Duration.ofMillis(5300) : Duration.ofSeconds(20));
        }
        world.sim.run(world.sim.now().plusMillis(6300)); // one is back, and has not taken over the others' machines yet
        for (WorkerStandIn w : all) {
            assertEquals(200, world.answer(0, w), w.id());
        }
        world.sim.run(Duration.ofSeconds(60));
        assertEquals(
                List.of(),
                all.stream().filter(w -> w.session() > 1).map(WorkerStandIn::id).toList(),
                "leases that ran out");
        assertEquals(List.of(), world.broken);
    }

    @Test
    void inAnOutageThatAllShareWorkersAreAnswered() {
        var world = new World(95);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 8, false, false));
        world.sim.run(Duration.ofSeconds(30));
        List<WorkerStandIn> all = world.alive();
        world.state.out = true;
        world.sim.run(Duration.ofSeconds(48));
        world.state.recover();
        world.sim.run(Duration.ofSeconds(70));
        assertEquals(
                List.of(),
                all.stream().filter(w -> w.session() > 1).map(WorkerStandIn::id).toList(),
                "leases that ran out");
        assertEquals(List.of(), world.broken);
    }

    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104})
    void controllersBackAtOnceInMidElection(long seed) {
        var world = new World(seed);
        List<String> ids = WorldTest.submitMix(world, 12);
        for (int k = 0; k < 6; k++) {
            world.sim.after(6000L + k * 5200L, () -> {
                int leader = Math.max(0, world.leader());
                world.crash(leader, Duration.ofMillis(50 + world.sim.random.nextInt(400)));
                // The next one goes while the election and the take-over are under way.
                world.sim.after(
                        300 + world.sim.random.nextInt(4500),
                        () -> world.crash((leader + 1) % 3, Duration.ofMillis(100)));
            });
        }
        world.sim.run(Duration.ofSeconds(300));
        WorldTest.assertAllDone(world, ids);
    }

    /** A machine of a running gang is about to be taken away, so the gang saves; the controllers crash in those seconds. */
    @ParameterizedTest
    @ValueSource(longs = {105, 106, 107, 108, 109, 110})
    void allControllersCrashWhileAGangSaves(long seed) {
        var world = new World(seed);
        Submission gang = new Submission(
                "wk-000001",
                "class",
                "red",
                Shape.GANG,
                Priority.URGENT,
                6,
                new Resources(1, 1, 1),
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                true,
                "image",
                2,
                Duration.ofSeconds(25),
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                Optional.empty());
        world.submit(gang);
        world.submit(WorldTest.job("wk-000002", "blue", Shape.ARRAY, 5, false, true));
        while (!world.lastTold("wk-000001").equals("running")
                && world.sim.now().compareTo(Duration.ofSeconds(60)) < 0) {
            world.sim.run(world.sim.now().plusSeconds(1));
        }
        world.sim.run(world.sim.now().plusSeconds(3));
        WorkerStandIn taken = world.alive().stream()
                .filter(w -> w.holds("wk-000001"))
                .findFirst()
                .orElseThrow();
        world.take(taken, Duration.ofSeconds(12));
        for (int n = 0; n < 3; n++) {
            int node = n;
            world.sim.after(2200 + 500 * (seed - 105), () -> world.crash(node, Duration.ofMillis(400 + 700L * node)));
        }
        world.sim.run(world.sim.now().plusSeconds(300));
        WorldTest.assertAllDone(world, List.of("wk-000001", "wk-000002"));
        assertTrue(world.saves > 0, "nothing was saved");
    }

    @ParameterizedTest
    @ValueSource(longs = {111, 112})
    void everyControllerKnowsEveryJobAfterTroubles(long seed) {
        var world = new World(seed);
        world.loss = 0.03;
        List<String> ids = WorldTest.submitMix(world, 12);
        world.sim.after(8000, () -> world.isolatedNode = (int) seed % 3);
        world.sim.after(22_000, () -> world.isolatedNode = -1);
        world.sim.after(15_000, () -> world.crash((int) (seed + 1) % 3, Duration.ofMillis(200)));
        world.sim.after(30_000, () -> world.state.out = true);
        world.sim.after(44_000, world.state::recover);
        world.sim.after(44_100, () -> world.loss = 0);
        world.sim.run(Duration.ofSeconds(119)); // 75 s after the last trouble
        for (int node = 0; node < 3; node++) {
            for (String id : ids) {
                assertEquals(200, world.poll(node, id).join().status(), id + " at controller " + node);
            }
        }
        world.sim.run(Duration.ofSeconds(400));
        WorldTest.assertAllDone(world, ids);
    }

    @Test
    void aJobOnMoreMachinesThanATransactionGuardsIsRecorded() {
        // Names far apart: every machine has a record of its own, and there are more of them than one transaction may
        // guard.
        var world = new World(121, 90, 10);
        world.submit(new Submission(
                "wk-000001",
                "class",
                "red",
                Shape.ARRAY,
                Priority.LOW,
                80,
                new Resources(4, 0, 1),
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                false,
                "image",
                2,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ZERO,
                Optional.empty()));
        world.submit(new Submission(
                "wk-000002",
                "class",
                "blue",
                Shape.GANG,
                Priority.URGENT,
                70,
                new Resources(4, 0, 1),
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                false,
                "image",
                2,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ZERO,
                Optional.empty()));
        world.sim.run(Duration.ofSeconds(300));
        WorldTest.assertAllDone(world, List.of("wk-000001", "wk-000002"));
    }

    /** Small jobs keep coming, from the gang's own team and from another one that borrows beyond its guarantee. */
    @ParameterizedTest
    @ValueSource(strings = {"URGENT", "NORMAL"})
    void aLargeGangBeginsWithinFourMinutes(String priority) {
        var world = new World(131);
        for (int i = 0; i < 300; i++) {
            Submission small = new Submission(
                    "wk-%06d".formatted(i + 10),
                    "small",
                    i % 3 == 0 ? "red" : "blue",
                    Shape.ARRAY,
                    Priority.NORMAL,
                    2,
                    new Resources(1, 1, 1),
                    Optional.empty(),
                    Optional.empty(),
                    false,
                    false,
                    false,
                    "image-1",
                    2,
                    Duration.ofSeconds(5),
                    Duration.ZERO,
                    Duration.ZERO,
                    Optional.empty());
            world.sim.after(1000L + i * 900L, () -> world.submit(small));
        }
        Submission large = new Submission(
                "wk-000001",
                "large",
                "red",
                Shape.GANG,
                Priority.valueOf(priority),
                9,
                new Resources(1, 1, 1),
                Optional.empty(),
                Optional.empty(),
                true,
                false,
                false,
                "image-2",
                2,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ZERO,
                Optional.empty());
        world.sim.after(30_000, () -> world.submit(large));
        world.sim.run(Duration.ofSeconds(270));
        assertEquals(List.of(), world.broken);
        assertTrue(
                List.of("running", "done").contains(world.lastTold("wk-000001")),
                world.admin(0, "GET", "/v1/jobs/wk-000001", "").join().body().toString());
    }

    /** Controllers that stand still while their clocks go on, the leader first, at any stage of placing, replacing, saving and cancelling. */
    @ParameterizedTest
    @ValueSource(longs = {141, 142, 143, 144, 145, 146, 147, 148, 149, 150})
    void controllersStandStillAtAnyStage(long seed) {
        var world = new World(seed);
        world.repeat = 0.1;
        List<String> ids = WorldTest.submitMix(world, 14);
        for (int k = 0; k < 5; k++) {
            int which = k;
            world.sim.after(3000L + k * 9000L + world.sim.random.nextInt(6000), () -> {
                int leader = Math.max(0, world.leader());
                world.freeze((leader + (which % 2)) % 3, Duration.ofMillis(1500 + world.sim.random.nextInt(24_000)));
            });
        }
        world.sim.after(14_000, () -> world.cancel(ids.get(9)));
        world.sim.after(16_000, () -> world.take(world.worker((int) seed % 4), Duration.ofSeconds(12)));
        world.sim.after(26_000, () -> world.crash((int) seed % 3, Duration.ofMillis(300)));
        world.sim.run(Duration.ofSeconds(400));
        assertEquals(List.of(), world.broken);
        ids.stream().filter(id -> !id.equals(ids.get(9))).forEach(id -> assertEquals("done", world.lastTold(id), id));
        assertTrue(List.of("done", "cancelled").contains(world.lastTold(ids.get(9))));
    }

    /** What an earlier owner told last may be minutes old, since a machine that is up is told of once. */
    @ParameterizedTest
    @ValueSource(longs = {161, 162, 163, 164})
    void machinesOfACrashedControllerAreKept(long seed) {
        var world = new World(seed, 7, 10); // a record each, so that they hash to different controllers
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 10, false, false));
        world.submit(WorldTest.job("wk-000002", "blue", Shape.SERVICE, 6, false, false));
        world.sim.run(Duration.ofSeconds(70));
        List<WorkerStandIn> used = world.alive().stream()
                .filter(w -> w.tasks().iterator().hasNext())
                .toList();
        assertTrue(!used.isEmpty());
        int leader = world.leader();
        world.crash((leader + 1) % 3, Duration.ofSeconds(200));
        world.crash((leader + 2) % 3, Duration.ofSeconds(200));
        world.sim.run(Duration.ofSeconds(100));
        assertEquals(
                List.of(),
                used.stream().filter(WorkerStandIn::dead).map(WorkerStandIn::id).toList(),
                "given back");
        assertEquals(List.of(), world.broken);
    }

    /** Nobody else could take over: what it has not heard, it could not hear. */
    @ParameterizedTest
    @ValueSource(ints = {14, 19, 27})
    void aControllerThatStoodStillReturnsNoMachineForItsSilence(int seconds) {
        var world = new World(151);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 6, false, false));
        world.sim.run(Duration.ofSeconds(60));
        int leader = world.leader();
        world.crash((leader + 1) % 3, Duration.ofSeconds(200));
        world.crash((leader + 2) % 3, Duration.ofSeconds(200));
        world.sim.run(Duration.ofSeconds(75));
        // Its workers can't reach it right after it wakes: what it has last heard of them is old by then.
        List<WorkerStandIn> all = world.alive();
        List<WorkerStandIn> used =
                all.stream().filter(w -> w.tasks().iterator().hasNext()).toList();
        assertTrue(!used.isEmpty());
        world.freeze(leader, Duration.ofSeconds(seconds));
        all.forEach(w -> world.cut(w, Duration.ofSeconds(seconds).plusMillis(2500)));
        world.sim.run(Duration.ofSeconds(75 + seconds + 8));
        assertEquals(
                List.of(),
                used.stream().filter(WorkerStandIn::dead).map(WorkerStandIn::id).toList(),
                "given back");
        assertEquals(List.of(), world.broken);
    }

    /** It would keep the lead and its machines, answer for neither, and give the machines back as silent. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aControllerThatHasLostItsWorkersStepsAside(int offset) {
        var world = new World(171, 7, 10);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 10, false, false));
        world.submit(WorldTest.job("wk-000002", "blue", Shape.SERVICE, 6, false, false));
        world.sim.run(Duration.ofSeconds(70));
        List<WorkerStandIn> used = world.alive().stream()
                .filter(w -> w.tasks().iterator().hasNext())
                .toList();
        assertTrue(!used.isEmpty());
        int deaf = (world.leader() + offset) % 3;
        world.deafNode = deaf;
        world.sim.run(Duration.ofSeconds(110));
        if (offset == 0) {
            assertTrue(world.leader() >= 0 && world.leader() != deaf, "it still leads");
        }
        assertEquals(
                List.of(),
                used.stream().filter(WorkerStandIn::dead).map(WorkerStandIn::id).toList(),
                "given back");
        assertEquals(
                List.of(),
                used.stream()
                        .filter(w -> w.session() > 1)
                        .map(WorkerStandIn::id)
                        .toList(),
                "leases that ran out");
        world.deafNode = -1;
        world.sim.run(Duration.ofSeconds(125));
        assertTrue(
                world.admin(deaf, "GET", "/v1/controllers", "")
                        .join()
                        .body()
                        .toString()
                        .contains("n" + deaf),
                "it does not take part again");
        List<String> ids = List.of("wk-000003", "wk-000004");
        ids.forEach(id -> world.submit(WorldTest.job(id, "red", Shape.ARRAY, 2, false, false)));
        world.sim.run(Duration.ofSeconds(200));
        assertEquals(List.of(), world.broken);
    }

    /** The leader hears nothing of the others' machines for far longer than a lease; the others hear them all the time. */
    @ParameterizedTest
    @ValueSource(longs = {181, 182, 183})
    void machinesOfControllersThatCannotTalkToTheLeaderAreKept(long seed) {
        var world = new World(seed, 7, 10);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 10, false, false));
        world.submit(WorldTest.job("wk-000002", "blue", Shape.SERVICE, 6, false, false));
        world.sim.run(Duration.ofSeconds(70));
        List<WorkerStandIn> used = world.alive().stream()
                .filter(w -> w.tasks().iterator().hasNext())
                .toList();
        world.peersRefuse = true;
        world.sim.run(Duration.ofSeconds(150));
        assertEquals(
                List.of(),
                used.stream().filter(WorkerStandIn::dead).map(WorkerStandIn::id).toList(),
                "given back");
        world.peersRefuse = false;
        world.submit(WorldTest.job("wk-000003", "red", Shape.GANG, 3, false, false));
        world.sim.run(Duration.ofSeconds(200));
        assertEquals(List.of(), world.broken);
    }

    /** Held reports arrive all at once when a cut ends; that commands did not arrive before says nothing about after. */
    @ParameterizedTest
    @CsvSource({"191, 27", "192, 27", "193, 27", "191, 33", "192, 33", "193, 33"
    }) // a new leader gives up what it never heard after 25 s
    void machinesAreKeptWhenTheirCutEnds(long seed, int seconds) {
        var world = new World(seed, 7, 10);
        world.submit(WorldTest.job("wk-000001", "red", Shape.SERVICE, 10, false, false));
        world.submit(WorldTest.job("wk-000002", "blue", Shape.SERVICE, 6, false, false));
        world.sim.run(Duration.ofSeconds(70));
        List<WorkerStandIn> cut = world.alive().stream()
                .filter(w -> w.zone.equals(world.worker(0).zone))
                .toList();
        List<WorkerStandIn> used =
                cut.stream().filter(w -> w.tasks().iterator().hasNext()).toList();
        assertTrue(cut.size() >= 4 && !used.isEmpty());
        cut.forEach(w -> world.cut(w, Duration.ofSeconds(seconds)));
        world.crash(
                world.leader(), Duration.ofSeconds(8)); // the next one takes machines over that it cannot command yet
        world.sim.run(Duration.ofSeconds(125));
        assertEquals(
                List.of(),
                used.stream().filter(WorkerStandIn::dead).map(WorkerStandIn::id).toList(),
                "given back");
        assertEquals(List.of(), world.broken);
    }

    /** Three controllers in two zones: the one alone in its zone is cut off, or the two together, with the leader on either side; some crash meanwhile. */
    @ParameterizedTest
    @CsvSource({"211, west, 2", "212, west, 0", "213, east, 0", "214, east, 2", "215, west, 1", "216, east, 1"})
    void aZoneIsCutOffFromEverything(long seed, String zone, int crashed) {
        var world = new World(seed, 120, 3);
        world.provide(40);
        world.taskTime = Optional.of(Duration.ofMinutes(10));
        for (String id : List.of("wk-000101", "wk-000102")) {
            world.submit(new Submission(
                    id,
                    "class",
                    id.endsWith("1") ? "red" : "blue",
                    Shape.ARRAY,
                    Priority.NORMAL,
                    20,
                    new Resources(4, 1, 1),
                    Optional.empty(),
                    Optional.empty(),
                    false,
                    false,
                    false,
                    "image",
                    2,
                    Duration.ofSeconds(60),
                    Duration.ZERO,
                    Duration.ZERO,
                    Optional.empty()));
        }
        world.sim.run(Duration.ofSeconds(70));
        world.taskTime = Optional.empty();
        List<WorkerStandIn> used = world.alive().stream()
                .filter(w -> w.zone.equals(zone) && w.tasks().iterator().hasNext())
                .toList();
        assertTrue(!used.isEmpty());
        world.zoneCut = zone;
        world.sim.after(4000, () -> world.crash(crashed, Duration.ofMillis(700)));
        List<String> ids = WorldTest.submitMix(world, 6);
        world.sim.run(Duration.ofSeconds(96));
        world.zoneCut = "";
        world.sim.run(Duration.ofSeconds(101));
        assertEquals(
                List.of(),
                used.stream().filter(WorkerStandIn::dead).map(WorkerStandIn::id).toList(),
                "given back");
        world.cancel("wk-000101");
        world.cancel("wk-000102");
        world.sim.run(Duration.ofSeconds(400));
        WorldTest.assertAllDone(world, ids);
    }
}
