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
            world.sim.after(1000L + 400L * i, () -> world.submit(WorldTest.job(id, Integer.parseInt(id.substring(3)) % 2 == 0 ? "red" : "blue", Shape.ARRAY, 2, false, false)));
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
        while (!ids.stream().allMatch(id -> world.cancelledAt(id).isPresent()) && world.sim.now().compareTo(latest) < 0) {
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
        assertEquals(List.of(), all.stream().filter(w -> gone.stream().anyMatch(w::holds)).map(WorkerStandIn::id).toList(), "told by the others, the leader stops them at once");
        world.sim.run(begun.plus(World.CANCEL).plusSeconds(15));
        assertEquals(List.of(), world.broken);
        assertEquals(List.of(), all.stream().filter(w -> w.session() > 1).map(WorkerStandIn::id).toList(), "leases that ran out though every cancellation is known");
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
                default -> { }
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
}
