package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random overlapping faults of all kinds. More seeds than the default are run with
 * {@code mvn test -Dtest=RandomFailuresTest -Dmix.from=1000 -Dmix.count=500}.
 */
class RandomFailuresTest {
    private static final int JOBS = 14;
    /** Several pages of the state store. */
    private static final int HISTORY = 5000;
    /**
     * Seeds that once failed: the loss or the end of a task showed only in the answer to an inspection or in a heartbeat
     * during an outage.
     */
    private static final long[] FORMERLY_FAILING = {25645, 22145, 24021, 23629, 20279, 41553};

    /** Long enough that jobs still run when they are cancelled, and short enough that the others complete. */
    private static final Duration LONG_TASK = Duration.ofSeconds(20);
    /** Seeds that once failed: a hanging machine with cancelled tasks was kept for too long. */
    private static final long[] FORMERLY_CANCELLED_TOO_LATE = {1000, 1001, 1003, 1004, 1060, 1106};

    /** Seeds that once failed: a task was started although the release of its allocation could still be applied. */
    private static final long[] FORMERLY_RELEASED_EARLY = {
        1024, 1025, 1045, 1075, 1168, 1194, 1005, 1009, 1027, 1029, 1043, 1065, 1074
    };

    private static LongStream drawnSeeds(int defaultCount) {
        return SeedRange.of(500, defaultCount);
    }

    static LongStream seeds() {
        return LongStream.concat(LongStream.of(FORMERLY_FAILING), drawnSeeds(24));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldUnderRandomFaults(long seed) {
        runSchedule(seed, RandomFaultSchedule.StateService.UNLIMITED);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldUnderRandomFaultsWithALimitedStore(long seed) {
        runSchedule(seed, RandomFaultSchedule.StateService.LIMITED_AND_SLOW);
    }

    static LongStream refusedConnectionSeeds() {
        return LongStream.concat(LongStream.of(FORMERLY_RELEASED_EARLY), drawnSeeds(12));
    }

    @ParameterizedTest
    @MethodSource("refusedConnectionSeeds")
    void invariantsHoldWhenMachinesRefuseConnectionsWhileWritesAreLate(long seed) {
        refuseConnectionsWhileWritesAreLate(seed, RandomFaultSchedule.StateService.UNLIMITED);
    }

    @ParameterizedTest
    @MethodSource("refusedConnectionSeeds")
    void invariantsHoldWhenMachinesRefuseConnectionsWhileWritesToALimitedStoreAreLate(long seed) {
        refuseConnectionsWhileWritesAreLate(seed, RandomFaultSchedule.StateService.LIMITED_AND_SLOW);
    }

    private static void refuseConnectionsWhileWritesAreLate(long seed, RandomFaultSchedule.StateService stateService) {
        var schedule = new RandomFaultSchedule(seed, stateService);
        schedule.submitJobs(JOBS);
        schedule.addRefusedConnectionsAndLateWrites(3);
        schedule.addRandomFaults((int) (seed % 3));
        assertEquals(List.of(), schedule.run(), () -> seed + ": " + schedule.faultLog());
    }

    static LongStream hangingMachineSeeds() {
        return LongStream.concat(LongStream.of(FORMERLY_CANCELLED_TOO_LATE), drawnSeeds(12));
    }

    @ParameterizedTest
    @MethodSource("hangingMachineSeeds")
    void invariantsHoldWhenMachinesOfCancelledJobsHang(long seed) {
        var schedule = new RandomFaultSchedule(seed, RandomFaultSchedule.StateService.alternating(seed));
        schedule.cluster().taskDuration = Optional.of(LONG_TASK);
        schedule.submitJobs(JOBS);
        schedule.addCancellationsOnHangingMachines(3);
        schedule.addRandomFaults((int) (seed % 4));
        assertEquals(List.of(), schedule.run(), () -> seed + ": " + schedule.faultLog());
    }

    static LongStream historySeeds() {
        return drawnSeeds(12);
    }

    /** Guards against jobs that ended long ago and are forgotten, run again or change their state while faults overlap. */
    @ParameterizedTest
    @MethodSource("historySeeds")
    void invariantsHoldInACellWithFinishedJobs(long seed) {
        var schedule = new RandomFaultSchedule(seed, RandomFaultSchedule.StateService.alternating(seed));
        schedule.addHistory(HISTORY);
        schedule.submitJobs(JOBS);
        schedule.addRandomFaults(2 + (int) (seed % 5));
        assertEquals(List.of(), schedule.run(), () -> seed + ": " + schedule.faultLog());
    }

    private static void runSchedule(long seed, RandomFaultSchedule.StateService stateService) {
        var schedule = new RandomFaultSchedule(seed, stateService);
        schedule.submitJobs(JOBS);
        schedule.addRandomFaults(2 + (int) (seed % 5));
        assertEquals(List.of(), schedule.run(), () -> seed + ": " + schedule.faultLog());
    }
}
