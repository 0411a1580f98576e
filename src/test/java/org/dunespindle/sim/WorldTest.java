package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Shape;
import org.dunespindle.protocol.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole controllers against stand-ins in virtual time, through failures drawn from fixed seeds. */
class WorldTest {
    static Submission job(String id, String team, Shape shape, int tasks, boolean sameZone, boolean spot) {
        return new Submission(
                id,
                "class",
                team,
                shape,
                shape == Shape.GANG ? Priority.URGENT : Priority.LOW,
                tasks,
                new Resources(1, 1, 1),
                Optional.empty(),
                Optional.empty(),
                sameZone,
                false,
                spot,
                "image-" + tasks % 2,
                2,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ZERO,
                Optional.empty());
    }

    static List<String> submitMix(World world, int count) {
        var ids = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            Submission job = job(
                    id,
                    i % 2 == 0 ? "red" : "blue",
                    i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                    i % 3 == 0 ? 1 + i % 4 : 2 + i % 5,
                    i % 2 == 0,
                    i % 4 != 0);
            world.sim.after(500L + i * 900L, () -> world.submit(job));
        }
        return ids;
    }

    static void assertAllDone(World world, List<String> ids) {
        assertEquals(List.of(), world.broken);
        for (String id : ids) {
            assertEquals("done", world.lastTold(id), id);
        }
    }

    @Test
    void quietDayIsServed() {
        var world = new World(1);
        List<String> ids = submitMix(world, 14);
        world.sim.run(Duration.ofSeconds(240));
        assertAllDone(world, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7, 8, 9})
    void rulesHoldThroughLossAndRepeatsAndFailures(long seed) {
        var world = new World(seed);
        world.loss = 0.02;
        world.repeat = 0.1;
        List<String> ids = submitMix(world, 14);
        for (int i = 0; i < 5; i++) {
            int pick = world.sim.random.nextInt(50);
            world.sim.after(8000L + world.sim.random.nextInt(50_000), () -> {
                if (world.worker(pick) != null) {
                    world.cut(world.worker(pick), Duration.ofSeconds(2 + pick % 17));
                }
            });
            world.sim.after(
                    8000L + world.sim.random.nextInt(50_000),
                    () -> world.crash(pick % 3, Duration.ofMillis(200 + pick * 150L)));
        }
        int dead = world.sim.random.nextInt(50);
        world.sim.after(30_000, () -> {
            if (world.worker(dead) != null) {
                world.die(world.worker(dead));
            }
        });
        world.sim.after(20_000L + world.sim.random.nextInt(20_000), () -> world.state.out = true);
        world.sim.after(48_000, world.state::recover);
        world.sim.run(Duration.ofSeconds(500));
        assertAllDone(world, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void allControllersCrashAtAnyStageOfAGang(long seed) {
        var world = new World(seed);
        List<String> ids = submitMix(world, 10);
        for (int k = 0; k < 4; k++) {
            long at = 7000L + world.sim.random.nextInt(25_000);
            for (int n = 0; n < 3; n++) {
                int node = n;
                world.sim.after(at, () -> world.crash(node, Duration.ofMillis(300 + node * 900L)));
            }
        }
        world.sim.run(Duration.ofSeconds(400));
        assertAllDone(world, ids);
    }

    @Test
    void controllersThatStartAnewDoNotReturnMachinesTheyHaveNotHeardYet() {
        var world = new World(14);
        // One service keeps a machine in use, far beyond three times its boot time.
        world.submit(job("wk-000001", "red", Shape.SERVICE, 2, false, false));
        world.sim.run(Duration.ofSeconds(100));
        int before = world.returned;
        for (int n = 0; n < 3; n++) {
            world.crash(n, Duration.ofMillis(2000));
        }
        world.sim.run(Duration.ofSeconds(115));
        assertEquals(before, world.returned);
        assertEquals(List.of(), world.broken);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void oneControllerAloneRefusedByTheStateServiceHarmsNobody(long seed) {
        var world = new World(seed);
        List<String> ids = submitMix(world, 12);
        int node = (int) (seed % 3);
        world.sim.after(9000, () -> world.refusedNode = node);
        world.sim.after(40_000, () -> world.refusedNode = -1);
        world.sim.run(Duration.ofSeconds(300));
        assertAllDone(world, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void machinesThatReachOnlyOneControllerAreTakenOverByIt(long seed) {
        var world = new World(seed);
        List<String> ids = submitMix(world, 12);
        world.sim.after(10_000, () -> {
            for (int m = 0; m < 4; m++) {
                for (int n = 0; n < 3; n++) {
                    if (n != m % 3 && world.worker(m) != null) {
                        world.block(n, world.worker(m));
                    }
                }
            }
        });
        world.sim.run(Duration.ofSeconds(400));
        assertAllDone(world, ids);
    }

    @Test
    void machinesRentedLateAreUsedOrReturned() {
        var world = new World(61);
        world.lateRentals = true;
        List<String> ids = submitMix(world, 6);
        world.sim.run(Duration.ofSeconds(400));
        assertAllDone(world, ids);
        assertEquals(null, world.worker(0), "idle machines are given back, the late ones too");
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void cancelledJobsVanishInTime(long seed) {
        var world = new World(seed);
        world.loss = 0.02;
        List<String> ids = submitMix(world, 12);
        for (int i = 0; i < ids.size(); i += 2) {
            String id = ids.get(i);
            world.sim.after(4000L + i * 1500L, () -> world.cancel(id));
        }
        int pick = world.sim.random.nextInt(9);
        world.sim.after(9000, () -> {
            if (world.worker(pick) != null) {
                world.cut(world.worker(pick), Duration.ofSeconds(25));
            }
        });
        world.sim.after(12_000, () -> world.crash(pick % 3, Duration.ofSeconds(6)));
        world.sim.run(Duration.ofSeconds(400));
        assertEquals(List.of(), world.broken);
        for (String id : ids) {
            String last = world.lastTold(id);
            assertEquals(true, last.equals("done") || last.equals("cancelled"), id + " is " + last);
        }
    }
}
