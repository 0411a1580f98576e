package org.dunespindle.sim;

import java.time.Duration;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Machines hang as their jobs are cancelled, and everything that wipes or delays what a controller remembers of it happens at any moment
 * of the cancellation timeout, alone and two in a row. More seeds than the default are run with
 * {@code mvn test -Dtest=CancellationDisruptionsTest -Dmix.from=1000 -Dmix.count=50}.
 */
class CancellationDisruptionsTest {
    private static final int MAX_HANGING = HangingMachinesScenario.MACHINES - 1;
    /** Within which the second disruption follows the first one. */
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(12);

    static Stream<Arguments> single() {
        return CancellationDisruption.all().stream()
                .flatMap(disruption -> SeedRange.of(1, 3).mapToObj(seed -> Arguments.of(disruption, seed)));
    }

    static Stream<Arguments> pairs() {
        return CancellationDisruption.all().stream()
                .flatMap(first -> CancellationDisruption.all().stream()
                        .flatMap(second -> SeedRange.of(1, 1).mapToObj(seed -> Arguments.of(first, second, seed))));
    }

    /** Guards against a process whose end, pause or cut leaves cancelled tasks on hanging machines. */
    @ParameterizedTest
    @MethodSource("single")
    void cancelledTasksEndInTimeDespiteOneDisruption(CancellationDisruption disruption, long seed) {
        var random = new Random(seed * 31 + 7 + disruption.hashOfNames());
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(1 + random.nextInt(MAX_HANGING));
        scenario.at(moment(random), () -> disruption.begin(scenario.cluster, scenario.firstMachine(), random));
        scenario.assertEndedInTime();
    }

    /** Guards against the same by two disruptions, one soon after the other. */
    @ParameterizedTest
    @MethodSource("pairs")
    void cancelledTasksEndInTimeDespiteTwoDisruptions(
            CancellationDisruption first, CancellationDisruption second, long seed) {
        var random = new Random(seed * 31 + 7 + first.hashOfNames() * 13L + second.hashOfNames());
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(1 + random.nextInt(MAX_HANGING));
        Duration at = moment(random);
        Duration interval = Duration.ofMillis(random.nextInt((int) MAX_INTERVAL.toMillis()));
        scenario.at(at, () -> first.begin(scenario.cluster, scenario.firstMachine(), random));
        scenario.at(at.plus(interval), () -> second.begin(scenario.cluster, scenario.firstMachine(), random));
        scenario.assertEndedInTime();
    }

    private static Duration moment(Random random) {
        return Duration.ofMillis(random.nextInt((int) SimulatedCluster.CANCEL_TIMEOUT.toMillis()));
    }
}
