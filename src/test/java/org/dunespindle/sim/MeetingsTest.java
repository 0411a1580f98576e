package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.dunespindle.protocol.Shape;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Two troubles that meet, each meeting brought about on purpose; that it took place is checked too. */
class MeetingsTest {
    /** Long tasks, placed and running. */
    private static List<String> longJobs(World world, int count) {
        world.taskTime = Optional.of(Duration.ofMinutes(5));
        var ids = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            world.sim.after(
                    1000L + 400L * i,
                    () -> world.submit(WorldTest.job(
                            id,
                            Integer.parseInt(id.substring(3)) % 2 == 0 ? "red" : "blue",
                            Shape.ARRAY,
                            2,
                            false,
                            false)));
        }
        world.sim.run(Duration.ofSeconds(40));
        return ids;
    }

    private static int other(int node, int by) {
        return (node + by) % 3;
    }

    /** Cancels jobs through one controller; all are confirmed there when this ends, and at most a few milliseconds ago. */
    private static void cancelAt(World world, int node, List<String> ids) {
        world.usersAt = node;
        ids.forEach(world::cancel);
        Duration latest = world.sim.now().plusSeconds(3);
        while (!ids.stream().allMatch(id -> world.cancelledAt(id).isPresent())
                && world.sim.now().compareTo(latest) < 0) {
            world.sim.run(world.sim.now().plusMillis(2));
        }
        world.usersAt = -1;
        ids.forEach(id -> assertTrue(world.cancelledAt(id).isPresent(), id + " is not confirmed as cancelled"));
    }

    /**
     * The gap: the leader alone is refused, cancellations are confirmed elsewhere, then nobody reaches the state service for longer than
     * {@code cancel_s}. Its workers go on reporting to the leader, which has never read of them.
     */
    @ParameterizedTest
    @ValueSource(longs = {301, 302, 303, 304, 305})
    void whatTheLeaderCouldNotReadEndsInTimeAndTheRestGoesOn(long seed) {
        var world = new World(seed);
        List<String> ids = longJobs(world, 8);
        int leader = world.leader();
        List<WorkerStandIn> all = world.alive();
        world.refusedNode = leader;
        world.sim.run(world.sim.now().plusMillis(300 + 150 * (seed - 301)));
        List<String> gone = ids.subList(0, 4);
        cancelAt(world, other(leader, 1), gone);
        world.state.out = true;
        Duration begun = world.sim.now();
        world.sim.run(begun.plusSeconds(6));
        assertEquals(
                List.of(),
                all.stream()
                        .filter(w -> gone.stream().anyMatch(w::holds))
                        .map(WorkerStandIn::id)
                        .toList(),
                "told by the others, the leader stops them at once");
        world.sim.run(begun.plus(World.CANCEL).plusSeconds(15));
        assertEquals(List.of(), world.broken);
        assertEquals(
                List.of(),
                all.stream().filter(w -> w.session() > 1).map(WorkerStandIn::id).toList(),
                "leases that ran out though every cancellation is known");
        world.refusedNode = -1;
        world.state.recover();
        ids.subList(4, 8).forEach(world::cancel);
        world.sim.run(world.sim.now().plusSeconds(60));
        assertEquals(List.of(), world.broken);
        assertEquals(List.of(), world.startsAfterCancel);
    }

    /** The same with controllers that cannot talk, or one that has ended: then only the leases of its workers can end what was cancelled. */
    @ParameterizedTest
    @ValueSource(longs = {311, 312, 313, 314, 315, 316})
    void whatNobodyCanTellTheLeaderEndsWithTheLeases(long seed) {
        var world = new World(seed);
        List<String> ids = longJobs(world, 8);
        int leader = world.leader();
        world.refusedNode = leader;
        world.peersRefuse = seed % 2 == 0;
        world.sim.run(world.sim.now().plusMillis(100 + 100 * (seed - 311)));
        int confirms = other(leader, 1 + (int) seed / 2 % 2);
        cancelAt(world, confirms, ids.subList(0, 4));
        world.state.out = true;
        if (!world.peersRefuse) {
            world.crash(confirms, Duration.ofSeconds(2)); // what comes back cannot read, so it cannot tell
        }
        world.sim.run(world.sim.now().plus(World.CANCEL).plusSeconds(25));
        assertEquals(List.of(), world.broken);
        world.peersRefuse = false;
        world.refusedNode = -1;
        world.state.recover();
        ids.subList(4, 8).forEach(world::cancel);
        world.sim.run(world.sim.now().plusSeconds(90));
        assertEquals(List.of(), world.broken);
    }

    /**
     * Who hears whom, how long messages between controllers are held, who is refused, who ends or stands still, how long nobody reaches the
     * state service: all drawn, and cancellations come through whichever controller can store them. What a controller concludes from
     * the others' answers must hold in all of it.
     */
    @ParameterizedTest
    @MethodSource("gaps")
    void whoeverHearsWhomWhatIsCancelledEndsInTime(long seed) {
        var world = new World(seed);
        var random = new Random(seed);
        List<String> ids = longJobs(world, 8);
        for (int round = 0; round < 2; round++) {
            int refused = random.nextInt(4) == 0 ? random.nextInt(3) : world.leader();
            world.refusedNode = refused;
            for (int pair = 0; pair < 9; pair++) {
                if (random.nextInt(5) == 0) {
                    world.peersBlocked.add(pair);
                }
            }
            world.peerDelayMillis = random.nextInt(3) == 0 ? 1400 : 0;
            world.sim.run(world.sim.now().plusMillis(random.nextInt(5000)));
            int confirms = other(Math.max(0, refused), 1 + random.nextInt(2));
            List<String> some = ids.subList(4 * round, 4 * round + 1 + random.nextInt(3));
            world.usersAt = confirms;
            some.forEach(world::cancel);
            world.sim.run(world.sim.now().plusMillis(30 + random.nextInt(250)));
            world.usersAt = -1;
            world.state.out = true;
            world.sim.run(world.sim.now().plusMillis(random.nextInt(1500)));
            switch (random.nextInt(4)) {
                case 0, 1 -> world.crash(confirms, Duration.ofMillis(50 + random.nextInt(3000)));
                case 2 -> world.freeze(confirms, Duration.ofMillis(2000 + random.nextInt(20_000)));
                default -> {}
            }
            world.sim.run(world.sim.now().plusMillis(3000 + random.nextInt(45_000)));
            world.refusedNode = -1;
            world.peersBlocked.clear();
            world.state.recover();
            world.sim.run(world.sim.now().plusMillis(2000 + random.nextInt(12_000)));
        }
        world.sim.run(world.sim.now().plus(World.CANCEL).plusSeconds(5));
        assertEquals(List.of(), world.broken);
    }

    static LongStream gaps() {
        long from = Long.getLong("gap.from", 400);
        return LongStream.range(from, from + Integer.getInteger("gap.count", 40));
    }

    private static TroubleMix day(long seed) {
        var mix = new TroubleMix(seed);
        mix.submitJobs(14);
        return mix;
    }

    /** Moments drawn so that the troubles meet in any order. */
    private static Duration near(TroubleMix mix, int second) {
        return Duration.ofMillis(second * 1000L + mix.world().sim.random.nextInt(4000));
    }

    private static void assertKept(TroubleMix mix, String... meetings) {
        assertEquals(List.of(), mix.play(), () -> mix.story().toString());
        for (String meeting : meetings) {
            assertTrue(mix.world().met.containsKey(meeting), meeting + " did not take place: " + mix.world().met);
        }
    }

    /** Workers and users go on reaching the old leader; what the new one confirms as cancelled must end there too. */
    @ParameterizedTest
    @ValueSource(longs = {321, 322, 323, 324})
    void jobsAreCancelledThroughTheNewLeaderWhileTheOldOneIsCutOff(long seed) {
        var world = new World(seed);
        List<String> ids = longJobs(world, 8);
        int old = world.leader();
        world.isolatedNode = old;
        while (world.leader() == old || world.leader() < 0) {
            world.sim.run(world.sim.now().plusMillis(100 * (seed - 320)));
        }
        cancelAt(world, world.leader(), ids);
        world.sim.run(world.sim.now().plusSeconds(25 + 5 * (seed - 321)));
        world.isolatedNode = -1;
        world.sim.run(world.sim.now().plusSeconds(60));
        assertEquals(List.of(), world.broken);
        assertEquals(List.of(), world.startsAfterCancel);
        assertEquals(
                List.of(),
                world.alive().stream()
                        .filter(w -> ids.stream().anyMatch(w::holds))
                        .map(WorkerStandIn::id)
                        .toList());
    }

    @ParameterizedTest
    @ValueSource(longs = {331, 332, 333, 334})
    void reportsHeldBackArriveAtTheNewLeader(long seed) {
        var mix = day(seed);
        mix.at(near(mix, 18), () -> {
            mix.world().alive().forEach(w -> {
                w.holdReports(Duration.ofMillis(7000 + 1000 * (seed - 330)));
                mix.world().sim.after(3000, () -> w.holdReports(Duration.ZERO));
            });
            mix.world().sim.after(500 * (seed - 331), () -> mix.world().crash(mix.leader(), Duration.ofMillis(200)));
        });
        assertKept(mix, "held report");
    }

    /** The old leader's share of the limit, its placements, holds and stops: none of them may be used twice or be lost. */
    @ParameterizedTest
    @ValueSource(longs = {341, 342, 343, 344})
    void leadersChangeTenTimesInTwoMinutesAlsoInAnOutage(long seed) {
        var mix = day(seed);
        for (int k = 0; k < 10; k++) {
            mix.at(
                    Duration.ofMillis(6000 + 11_500L * k),
                    () -> mix.world()
                            .crash(
                                    mix.leader(),
                                    Duration.ofMillis(
                                            60 + mix.world().sim.random.nextInt(1500))));
        }
        mix.at(near(mix, 40), () -> mix.world().state.out = true);
        mix.at(Duration.ofSeconds(62), mix.world().state::recover);
        mix.at(near(mix, 20), () -> mix.world().cancel(mix.ids().get(3)));
        assertKept(mix);
    }

    /**
     * The leader ends while placeholders fetch and is back within a second. It takes its pages again, for the lead still bears its name, but
     * another controller is elected: all placeholders then wait on machines that the leader does not command.
     */
    @ParameterizedTest
    @MethodSource("formerLeaders")
    void placeholdersOfAFormerLeaderAreTakenUp(long seed) {
        var world = new World(seed, 7, 10);
        world.submit(WorldTest.job("wk-000001", "red", Shape.GANG, 6, false, false));
        world.submit(WorldTest.job("wk-000002", "blue", Shape.GANG, 5, false, false));
        while (!mode(world, "wk-000001").equals("HOLD")
                || !mode(world, "wk-000002").equals("HOLD")) {
            world.sim.run(world.sim.now().plusMillis(10));
            assertTrue(world.sim.now().compareTo(Duration.ofSeconds(60)) < 0, "no placeholder was placed");
        }
        int old = world.leader();
        world.crash(old, Duration.ofMillis(200 + 37 * (seed % 20)));
        world.sim.run(world.sim.now().plusSeconds(9));
        if (world.leader() != old) {
            world.met("another leads");
        }
        world.sim.run(world.sim.now().plusSeconds(30));
        for (String id : List.of("wk-000001", "wk-000002")) {
            assertTrue(
                    List.of("running", "done").contains(world.lastTold(id)),
                    id + " waits for its timer, all placed: " + world.dump());
        }
        assertEquals(List.of(), world.broken);
    }

    private static String mode(World world, String id) {
        StateStandIn.Row row = world.state.rows().get("ds/job/" + id);
        return row == null ? "" : row.value().path("mode").asText();
    }

    static LongStream formerLeaders() {
        long from = Long.getLong("former.from", 3500);
        return LongStream.range(from, from + Integer.getInteger("former.count", 10));
    }

    /** Commands reach it and are answered, but its lease runs out again and again: it must not be given task after task. */
    @ParameterizedTest
    @ValueSource(longs = {361, 362, 363})
    void aMuteMachineGetsNothingNewAndIsReturned(long seed) {
        var world = new World(seed);
        List<String> ids = WorldTest.submitMix(world, 12);
        world.sim.run(Duration.ofSeconds(8).plusMillis(400 * (seed - 360)));
        WorkerStandIn mute = world.alive().stream()
                .filter(w -> w.tasks().iterator().hasNext())
                .findFirst()
                .orElseThrow();
        mute.mute(true);
        world.sim.run(Duration.ofSeconds(30));
        long held = mute.held();
        assertEquals(0, held, "tasks are started on it though its leases run out");
        world.sim.run(Duration.ofSeconds(75));
        assertTrue(mute.dead(), "it is kept");
        world.sim.run(Duration.ofSeconds(300));
        WorldTest.assertAllDone(world, ids);
    }

    /** Each ends long after the others, the leader changes in between; done is told within 3 s of the last end, and never before. */
    @ParameterizedTest
    @ValueSource(longs = {371, 372, 373, 374})
    void tasksOfAJobEndFarApartAcrossAChangeOfLeader(long seed) {
        var world = new World(seed);
        world.lengthOf = p -> Optional.of(Duration.ofSeconds(4 + 17L * p.index()));
        var ids = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            world.submit(WorldTest.job(id, i % 2 == 0 ? "red" : "blue", Shape.ARRAY, i % 2 == 0 ? 3 : 2, false, false));
        }
        for (int k = 0; k < 4; k++) {
            world.sim.after(
                    12_000L + 9000L * k + 500 * (seed - 371),
                    () -> world.crash(Math.max(0, world.leader()), Duration.ofMillis(300)));
        }
        world.sim.run(Duration.ofSeconds(55));
        Duration calm = world.sim.now();
        world.sim.run(Duration.ofSeconds(200));
        WorldTest.assertAllDone(world, ids);
        for (String id : ids) {
            Duration last = world.completedAt(id).orElseThrow();
            if (last.compareTo(calm) > 0) {
                // The stand-in's user asks every five seconds, more or less.
                assertEquals(200, world.poll(0, id).join().status());
            }
            assertTrue(world.toldOverAt(id).orElseThrow().compareTo(last) >= 0, id);
        }
    }

    /** Some of the machines are unreachable when the leader ends, others do not hear the answers of the new one. */
    @ParameterizedTest
    @ValueSource(longs = {381, 382, 383, 384, 385})
    void aLeaderEndsWhileMachinesWithLongTasksCannotBeReached(long seed) {
        var mix = day(seed);
        World world = mix.world();
        world.lengthOf = p -> Optional.of(Duration.ofSeconds(20 + p.index() % 3 * 8L));
        mix.at(near(mix, 24), () -> {
            List<WorkerStandIn> all = world.alive();
            for (int i = 0; i < all.size(); i++) {
                WorkerStandIn w = all.get(i);
                if (i % 3 == 0) {
                    world.cut(w, Duration.ofSeconds(6 + seed % 5 * 4));
                } else if (i % 3 == 1) {
                    w.oneWay(true);
                    world.sim.after(8000 + 4000 * (seed % 5), () -> w.oneWay(false));
                }
            }
            world.met("unreachable machines");
            world.crash(mix.leader(), Duration.ofMillis(500 + 2000 * (seed % 3)));
        });
        assertKept(mix, "unreachable machines");
    }

    /** Commands and answers are held for seconds, then the machine goes on as if nothing had been; some of its jobs are cancelled by then. */
    @ParameterizedTest
    @ValueSource(longs = {391, 392, 393, 394, 395})
    void commandsAreHeldUpAndTheMachineGoesOn(long seed) {
        var mix = day(seed);
        World world = mix.world();
        for (int k = 0; k < 5; k++) {
            mix.at(
                    near(mix, 9 + 7 * k),
                    () -> world.alive().forEach(w -> w.hang(Duration.ofMillis(1500 + world.sim.random.nextInt(7500)))));
        }
        mix.add(TroubleMix.Trouble.CANCEL_NOW, near(mix, 25));
        assertKept(mix, "CANCEL_NOW");
    }

    @ParameterizedTest
    @ValueSource(longs = {401, 402, 403})
    void allControllersAreAwayForLongerThanALease(long seed) {
        var mix = day(seed);
        mix.at(near(mix, 22), () -> {
            for (int n = 0; n < 3; n++) {
                mix.world().crash(n, World.LEASE.plusMillis(1500 + 1100L * n));
            }
        });
        assertKept(mix);
    }

    /** Urgent work and other work, more than there is room for, while every message takes long. */
    @ParameterizedTest
    @ValueSource(longs = {411, 412})
    void moreWorkThanRoomOverSlowLinks(long seed) {
        var mix = new TroubleMix(seed);
        mix.world().slowMillis = 250;
        mix.submitJobs(30);
        mix.at(Duration.ofSeconds(100), () -> mix.world().slowMillis = 0);
        assertKept(mix);
    }

    /** A team at its limit, the leader changes, some of its machines cannot be asked, and one of its jobs is cancelled meanwhile: its use counts until the proof. */
    @ParameterizedTest
    @ValueSource(longs = {421, 422, 423, 424, 425})
    void aTeamAtItsLimitWhenTheLeaderChanges(long seed) {
        var world = new World(seed);
        world.taskTime = Optional.of(Duration.ofSeconds(40));
        for (int i = 0; i < 4; i++) {
            world.submit(WorldTest.job(
                    "wk-%06d".formatted(i), "blue", Shape.ARRAY, 4, false, false)); // 16 tasks, 6 allowed at once
        }
        world.sim.run(Duration.ofSeconds(20).plusMillis(300 * (seed - 420)));
        assertEquals(6, world.alive().stream().mapToLong(WorkerStandIn::held).sum(), "the team is at its limit");
        List<WorkerStandIn> some =
                world.alive().stream().filter(w -> w.held() > 0).limit(1).toList();
        String held = some.get(0).tasks().iterator().next().piece.job();
        some.forEach(w -> world.cut(w, Duration.ofSeconds(9 + seed % 4)));
        world.crash(world.leader(), Duration.ofMillis(400));
        world.sim.run(world.sim.now().plusMillis(200 * (seed - 421)));
        world.cancel(held);
        world.sim.run(Duration.ofSeconds(260));
        assertEquals(List.of(), world.broken);
        for (int i = 0; i < 4; i++) {
            String id = "wk-%06d".formatted(i);
            assertEquals(id.equals(held) ? "cancelled" : "done", world.lastTold(id), id);
        }
    }

    /** One controller hands over and takes back, then all end and one returns within a second, the others much later. */
    @ParameterizedTest
    @ValueSource(longs = {431, 432, 433, 434})
    void controllersHandOverAndBackThenAllEndAndOneReturns(long seed) {
        var mix = day(seed);
        World world = mix.world();
        int node = (int) seed % 3;
        mix.at(near(mix, 9), () -> world.crash(node, Duration.ofMillis(2500)));
        mix.at(near(mix, 20), () -> {
            world.crash(node, Duration.ofMillis(150 + 200 * (seed - 431)));
            world.crash((node + 1) % 3, Duration.ofSeconds(25));
            world.crash((node + 2) % 3, Duration.ofSeconds(18));
        });
        assertKept(mix);
    }

    /** Transactions without an answer are carried out seconds later, after newer ones of the same controller, while leaders change. */
    @ParameterizedTest
    @ValueSource(longs = {441, 442, 443, 444, 445})
    void transactionsAreCarriedOutLateAfterNewerOnes(long seed) {
        var mix = day(seed);
        World world = mix.world();
        world.lateWrites = 0.25;
        mix.at(near(mix, 25), () -> world.crash(mix.leader(), Duration.ofMillis(300)));
        mix.add(TroubleMix.Trouble.CANCEL_NOW, near(mix, 30));
        mix.add(TroubleMix.Trouble.ODD_REQUESTS, near(mix, 20));
        mix.at(Duration.ofSeconds(90), () -> world.lateWrites = 0);
        assertKept(mix, "late write");
    }

    /** Old reports, of earlier sessions too since leases run out meanwhile, arrive long after newer ones, also at controllers that have just started. */
    @ParameterizedTest
    @ValueSource(longs = {451, 452, 453, 454})
    void oldReportsOfEarlierSessionsArriveLate(long seed) {
        var mix = day(seed);
        World world = mix.world();
        world.lateCopies = 3;
        world.latestCopy = Duration.ofSeconds(38);
        mix.at(near(mix, 12), () -> world.alive().stream().limit(3).forEach(w -> world.cut(w, Duration.ofSeconds(14))));
        mix.at(near(mix, 33), () -> {
            assertTrue(world.alive().stream().anyMatch(w -> w.session() > 1), "no lease ran out");
            world.met("later session");
            world.crash(mix.leader(), Duration.ofMillis(300));
        });
        mix.at(Duration.ofSeconds(70), () -> world.lateCopies = 0);
        assertKept(mix, "later session");
    }

    /** Cancellation, question and repeated submission at the very moment of a job's end, with no other trouble: done and cancelled are never both told. */
    @ParameterizedTest
    @ValueSource(longs = {461, 462, 463, 464})
    void requestsMeetTheEndOfAJob(long seed) {
        var mix = day(seed);
        mix.world().cancelledAtEnd = 1;
        mix.world().repeatedAtEnd = true;
        assertKept(mix, "cancelled at its end");
        assertTrue(
                mix.world().met.get("cancelled at its end") >= mix.ids().size(),
                "every job is called off at its end: " + mix.world().met);
    }

    /** The state service answers slowly, then refuses the leader, then everybody for longer than {@code cancel_s}, while users cancel and ask. */
    @ParameterizedTest
    @ValueSource(longs = {471, 472, 473, 474})
    void aSlowStateServiceRefusesTheLeaderAndThenEverybody(long seed) {
        var mix = day(seed);
        World world = mix.world();
        world.slowStateMillis = 900;
        mix.at(near(mix, 22), () -> world.refusedNode = mix.leader());
        mix.add(TroubleMix.Trouble.CANCEL_NOW, near(mix, 23));
        mix.add(TroubleMix.Trouble.CANCEL_NOW, near(mix, 28));
        mix.at(near(mix, 28), () -> world.state.out = true);
        mix.at(Duration.ofSeconds(66), () -> {
            world.refusedNode = -1;
            world.slowStateMillis = 0;
            world.state.recover();
        });
        assertKept(mix, "CANCEL_NOW");
    }

    /** Jobs bound to a zone, arrays that must stay apart among them, lose machines while the leader changes. */
    @ParameterizedTest
    @ValueSource(longs = {481, 482, 483, 484})
    void jobsBoundToAZoneLoseMachines(long seed) {
        var mix = day(seed);
        World world = mix.world();
        for (int k = 0; k < 4; k++) {
            mix.at(near(mix, 14 + 8 * k), () -> {
                WorkerStandIn w = world.worker(world.sim.random.nextInt(20));
                if (w != null) {
                    world.met("machine lost");
                    world.die(w);
                }
            });
        }
        mix.at(near(mix, 26), () -> world.crash(mix.leader(), Duration.ofMillis(200)));
        assertKept(mix, "machine lost");
    }
}
