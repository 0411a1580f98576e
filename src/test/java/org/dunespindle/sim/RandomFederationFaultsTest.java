package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Troubles of all kinds between and within three cells, at moments drawn from seeds. More seeds than the usual few are played with
 * {@code mvn test -Dtest=RandomFederationFaultsTest -Dcells.from=1000 -Dcells.count=500}.
 */
class RandomFederationFaultsTest {
    static LongStream seeds() {
        long from = Long.getLong("cells.from", 0);
        return LongStream.range(from, from + Integer.getInteger("cells.count", 24));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void whateverMeets(long seed) {
        play(seed, RandomFaultSchedule.StateService.UNLIMITED);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void whateverMeetsWhileWritesAreScarce(long seed) {
        play(seed, RandomFaultSchedule.StateService.LIMITED_AND_SLOW);
    }

    private static void play(long seed, RandomFaultSchedule.StateService stateService) {
        var mix = new RandomFederationFaults(seed, stateService);
        mix.addAny(2 + (int) (seed % 4));
        assertEquals(List.of(), mix.play(), () -> seed + ": " + mix.story());
    }
}
