package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Property test of the federation: faults of all kinds within and between three cells, at times drawn from a seed.
 * A longer run with more seeds:
 * {@code mvn test -Dtest=RandomFederationFaultsTest -Dcells.from=1000 -Dcells.count=500}.
 */
class RandomFederationFaultsTest {
    static LongStream seeds() {
        long from = Long.getLong("cells.from", 0);
        return LongStream.range(from, from + Integer.getInteger("cells.count", 24));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void delegatedJobsFinishExactlyOnceUnderRandomFaults(long seed) {
        run(seed, RandomFaultSchedule.StateService.UNLIMITED);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void delegatedJobsFinishExactlyOnceUnderRandomFaultsAndLimitedWrites(long seed) {
        run(seed, RandomFaultSchedule.StateService.LIMITED_AND_SLOW);
    }

    private static void run(long seed, RandomFaultSchedule.StateService stateService) {
        var faults = new RandomFederationFaults(seed, stateService);
        faults.addAny(2 + (int) (seed % 4));
        assertEquals(List.of(), faults.run(), () -> seed + ": " + faults.faultLog());
    }
}
