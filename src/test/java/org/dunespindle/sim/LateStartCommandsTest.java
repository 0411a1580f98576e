package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Workers receive copies of all commands that they have answered before, while controllers and machines are gone for less than a second,
 * machines change their owners, and tasks are moved and cancelled. More seeds than the default are run with
 * {@code mvn test -Dtest=LateStartCommandsTest -Dmix.from=1000 -Dmix.count=100}.
 */
class LateStartCommandsTest {
    private static final int JOBS = 14;
    private static final int DISRUPTIONS = 16;
    /** From when to when disruptions begin, while jobs arrive and run. */
    private static final Duration FIRST_DISRUPTION = Duration.ofSeconds(8);

    private static final Duration LAST_DISRUPTION = Duration.ofSeconds(80);
    /** How long a start may be on its way when its job is cancelled, and the time until it has its image. */
    private static final Duration MAX_START_TIME = Duration.ofSeconds(5);

    /** What happens between a command and the arrival of its copies. */
    private enum Disruption {
        CONTROLLER_IS_BACK_AT_ONCE,
        ALL_CONTROLLERS_ARE_BACK_AT_ONCE,
        MACHINE_HANGS_FOR_A_MOMENT,
        MACHINE_IS_DISCONNECTED_FOR_A_MOMENT,
        MACHINE_CANNOT_REACH_ITS_OWNER,
        CONTROLLER_LOSES_ITS_WORKERS,
        JOBS_ARE_CANCELLED
    }

    static LongStream seeds() {
        return SeedRange.of(1, 20);
    }

    /** Guards against a late copy of a start that was carried out before, which runs a task twice or after its cancellation. */
    @ParameterizedTest
    @MethodSource("seeds")
    void copiesOfAnsweredStartsStartNothing(long seed) {
        var schedule = new RandomFaultSchedule(seed, RandomFaultSchedule.StateService.UNLIMITED);
        SimulatedCluster cluster = schedule.cluster();
        cluster.lateCommandCopies = Optional.of(new LateCommandCopies(cluster.sim, seed));
        cluster.workersKeepResults = true;
        schedule.submitJobs(JOBS);
        addDisruptions(schedule, new Random(seed * 31 + 7));
        assertEquals(List.of(), schedule.run(), () -> seed + ": " + schedule.faultLog());
        assertEquals(List.of(), startsLongAfterCancellation(cluster), () -> seed + ": " + cluster.events);
        assertTrue(cluster.events.containsKey("start of a known attempt"), "no copy met an attempt");
        assertTrue(cluster.events.containsKey("refused command"), "no copy met a higher token or a later session");
    }

    private static List<InvariantChecker.LateStart> startsLongAfterCancellation(SimulatedCluster cluster) {
        return cluster.invariants.lateStarts.stream()
                .filter(start -> start.commandedLater() && start.after().compareTo(MAX_START_TIME) > 0)
                .toList();
    }

    private static void addDisruptions(RandomFaultSchedule schedule, Random random) {
        for (int i = 0; i < DISRUPTIONS; i++) {
            Disruption disruption = Disruption.values()[random.nextInt(Disruption.values().length)];
            schedule.at(
                    RandomDurations.between(random, FIRST_DISRUPTION, LAST_DISRUPTION),
                    () -> begin(disruption, schedule, random));
        }
    }

    private static void begin(Disruption disruption, RandomFaultSchedule schedule, Random random) {
        SimulatedCluster cluster = schedule.cluster();
        FakeWorker machine = cluster.worker(random.nextInt(50));
        switch (disruption) {
            case CONTROLLER_IS_BACK_AT_ONCE -> cluster.crash(random.nextInt(3), lessThanASecond(random));
            case ALL_CONTROLLERS_ARE_BACK_AT_ONCE -> {
                for (int node = 0; node < 3; node++) {
                    cluster.crash(node, lessThanASecond(random));
                }
            }
            case MACHINE_HANGS_FOR_A_MOMENT ->
                Optional.ofNullable(machine).ifPresent(m -> m.hang(lessThanASecond(random)));
            case MACHINE_IS_DISCONNECTED_FOR_A_MOMENT ->
                Optional.ofNullable(machine).ifPresent(m -> cluster.disconnect(m, lessThanASecond(random)));
            case MACHINE_CANNOT_REACH_ITS_OWNER ->
                Optional.ofNullable(machine).ifPresent(m -> blockFromOwner(cluster, m, random));
            case CONTROLLER_LOSES_ITS_WORKERS -> {
                cluster.workerPartitionedNode = random.nextInt(3);
                cluster.sim.after(
                        RandomDurations.between(random, Duration.ofSeconds(2), Duration.ofSeconds(12)),
                        () -> cluster.workerPartitionedNode = -1);
            }
            case JOBS_ARE_CANCELLED ->
                schedule.ids().stream()
                        .filter(id -> cluster.lastReportedPhase(id).equals("running"))
                        .limit(1)
                        .forEach(cluster::cancel);
            default -> throw new IllegalStateException("unknown disruption " + disruption);
        }
    }

    private static void blockFromOwner(SimulatedCluster cluster, FakeWorker machine, Random random) {
        int owner = cluster.owner(machine);
        if (owner >= 0) {
            cluster.block(owner, machine);
            cluster.sim.after(
                    RandomDurations.between(random, Duration.ofMillis(500), Duration.ofSeconds(15)),
                    () -> cluster.unblock(owner, machine));
        }
    }

    private static Duration lessThanASecond(Random random) {
        return RandomDurations.between(random, Duration.ofMillis(50), Duration.ofMillis(950));
    }
}
