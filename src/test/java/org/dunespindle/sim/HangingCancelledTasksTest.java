package org.dunespindle.sim;

import java.time.Duration;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Users cancel jobs, and machines of these jobs hang from then on for longer than {@code cancel_s}. A hanging machine can't be told from
 * one behind a partition, but it doesn't end its tasks, so it must be terminated in time.
 */
class HangingCancelledTasksTest {
    private static final int MACHINES = HangingMachinesScenario.MACHINES;
    private static final int CONTROLLERS = 3;
    /** After which a controller that ended is back. */
    private static final Duration RESTART_TIME = Duration.ofSeconds(4);
    /** A standstill that is shorter than the leader's lease. */
    private static final Duration PAUSE = Duration.ofSeconds(4);

    static LongStream seeds() {
        return SeedRange.of(1, 6);
    }

    /** Guards against machines that hang together and are kept, as if partitioned, for longer than their cancelled tasks may last. */
    @ParameterizedTest
    @MethodSource("seeds")
    void mostMachinesHang(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.assertEndedInTime();
    }

    /** Guards against a hanging machine that is kept because its owner and the leader don't hear from each other. */
    @ParameterizedTest
    @MethodSource("seeds")
    void oneMachineHangsWhilePeersArePartitioned(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cluster.peersPartitioned = true;
        scenario.cancelOnHangingMachines(1);
        scenario.assertEndedInTime();
    }

    /** Guards against a time without heartbeats that starts anew with a new owner or a new leader. */
    @ParameterizedTest
    @MethodSource("seeds")
    void ownersAndLeadersChange(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.run(Duration.ofSeconds(5));
        scenario.cluster.crash(Math.max(0, scenario.cluster.leader()), Duration.ofSeconds(4));
        scenario.run(Duration.ofSeconds(8));
        scenario.cluster.crash(Math.max(0, scenario.cluster.leader()), Duration.ofSeconds(4));
        scenario.assertEndedInTime();
    }

    /** Guards against a restarted leader that waits for the first heartbeat of machines that hang. */
    @ParameterizedTest
    @MethodSource("seeds")
    void allControllersCrash(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.run(Duration.ofSeconds(2));
        for (int node = 0; node < 3; node++) {
            scenario.cluster.crash(node, Duration.ofSeconds(3));
        }
        scenario.assertEndedInTime();
    }

    /** Guards against an operator's patience with silent machines that outlasts a cancellation. */
    @ParameterizedTest
    @MethodSource("seeds")
    void operatorsKeepSilentMachines(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cluster.setOptions(0, Map.of("silent_return_s", 600.0));
        scenario.run(Duration.ofSeconds(2));
        scenario.cancelOnHangingMachines(1);
        scenario.assertEndedInTime();
    }

    /** Guards against a leader that terminates nothing while the state service is out. */
    @ParameterizedTest
    @MethodSource("seeds")
    void stateServiceIsOut(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(1 + (int) (seed % 4));
        scenario.run(Duration.ofSeconds(3));
        scenario.cluster.state.unavailable = true;
        scenario.cluster.sim.after(Duration.ofSeconds(38), scenario.cluster.state::recover);
        scenario.assertEndedInTime();
    }

    /** Guards against a drain that waits for the end of tasks on a machine that hangs. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hangingMachineIsDraining(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        FakeWorker machine = scenario.firstMachine();
        scenario.cluster.admin(scenario.cluster.leader(), "POST", "/v1/hosts/" + machine.id() + "/drain", "");
        scenario.cancelOnHangingMachines(1);
        scenario.assertEndedInTime();
    }

    /** Seconds after the cancellation, up to the timeout. */
    static IntStream moments() {
        return IntStream.rangeClosed(1, (int) SimulatedCluster.CANCEL_TIMEOUT.toSeconds() - 1);
    }

    /** Guards against processes that take a cancellation as due too late, since they found it at their start (review/5). */
    @ParameterizedTest
    @MethodSource("moments")
    void allControllersCrashLate(int second) {
        var scenario = new HangingMachinesScenario(second);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.run(Duration.ofSeconds(second));
        for (int node = 0; node < CONTROLLERS; node++) {
            scenario.cluster.crash(node, RESTART_TIME);
        }
        scenario.assertEndedInTime();
    }

    /** Guards against a leader that counts the silence of all machines anew after it stood still (review/6). */
    @ParameterizedTest
    @MethodSource("moments")
    void leaderPauses(int second) {
        var scenario = new HangingMachinesScenario(second);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.run(Duration.ofSeconds(second));
        scenario.cluster.freeze(Math.max(0, scenario.cluster.leader()), PAUSE);
        scenario.assertEndedInTime();
    }

    /** Guards against owners that report the end of their own standstill as a sign of life of their machines (related to review/6). */
    @ParameterizedTest
    @MethodSource("moments")
    void ownersPause(int second) {
        var scenario = new HangingMachinesScenario(second);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.run(Duration.ofSeconds(second));
        for (int node = 0; node < CONTROLLERS; node++) {
            if (node != scenario.cluster.leader()) {
                scenario.cluster.freeze(node, PAUSE);
            }
        }
        scenario.assertEndedInTime();
    }

    /** Guards against an outage of the state service in which nobody stands in for a leader that has ended (review/7). */
    @ParameterizedTest
    @MethodSource("seeds")
    void leaderEndsAsTheStateServiceGoesOut(long seed) {
        var scenario = new HangingMachinesScenario(seed);
        scenario.cancelOnHangingMachines(MACHINES - 1);
        scenario.run(Duration.ofSeconds(1));
        scenario.cluster.crash(Math.max(0, scenario.cluster.leader()), RESTART_TIME);
        scenario.cluster.state.unavailable = true;
        scenario.at(SimulatedCluster.CANCEL_TIMEOUT.plusSeconds(2), scenario.cluster.state::recover);
        scenario.assertEndedInTime();
    }
}
