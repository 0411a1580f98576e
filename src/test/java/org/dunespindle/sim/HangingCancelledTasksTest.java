package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.dunespindle.protocol.JobKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Users cancel jobs, and machines of these jobs hang from then on for longer than {@code cancel_s}. A hanging machine can't be told from
 * one behind a partition, but it doesn't end its tasks, so it must be terminated in time.
 */
class HangingCancelledTasksTest {
    private static final int MACHINES = 5;
    private static final Duration HANG = SimulatedCluster.CANCEL_TIMEOUT.plusSeconds(15);

    private final Map<String, FakeWorker> machineByJob = new TreeMap<>();

    static LongStream seeds() {
        long from = Long.getLong("mix.from", 1);
        return LongStream.range(from, from + Integer.getInteger("mix.count", 6));
    }

    /** A cluster in which each job fills one machine. */
    private SimulatedCluster clusterWithFullMachines(long seed) {
        var shape = ClusterShape.of(MACHINES, 1)
                .withLimits(Map.of("red", MACHINES * SimulatedCluster.SLOTS, "blue", SimulatedCluster.LIMIT_BLUE));
        var cluster = new SimulatedCluster(seed, shape);
        cluster.taskDuration = Optional.of(Duration.ofMinutes(10));
        for (int i = 0; i < MACHINES; i++) {
            String id = "wk-%06d".formatted(i);
            cluster.sim.after(
                    1000L + 3000L * i,
                    () -> cluster.submit(
                            ClusterTest.job(id, "red", JobKind.ARRAY, SimulatedCluster.SLOTS, false, false)));
            machineByJob.put(id, null);
        }
        cluster.sim.run(Duration.ofSeconds(50));
        machineByJob.replaceAll((job, none) -> cluster.alive().stream()
                .filter(worker -> worker.hasTaskOf(job))
                .findFirst()
                .orElseThrow(() -> new AssertionError(job + " runs nowhere: " + cluster.invariants.dump())));
        return cluster;
    }

    /** Cancels some jobs and lets their machines hang from that moment on. Returns the machines. */
    private List<FakeWorker> cancelOnHangingMachines(SimulatedCluster cluster, int count) {
        List<String> jobs = new ArrayList<>(machineByJob.keySet()).subList(0, count);
        List<FakeWorker> machines =
                jobs.stream().map(machineByJob::get).distinct().toList();
        machines.forEach(machine -> machine.hang(HANG));
        jobs.forEach(cluster::cancel);
        return machines;
    }

    private static void assertEndedInTime(SimulatedCluster cluster, List<FakeWorker> machines) {
        cluster.sim.run(cluster.sim.now().plus(HANG).plusSeconds(20));
        assertEquals(List.of(), cluster.violations.stream().distinct().toList(), cluster::decisions);
        assertTrue(
                machines.stream().allMatch(FakeWorker::dead),
                () -> "machines that hung with cancelled tasks and were kept: " + cluster.decisions());
    }

    /** Guards against machines that hang together and are kept, as if partitioned, for longer than their cancelled tasks may last. */
    @ParameterizedTest
    @MethodSource("seeds")
    void mostMachinesHang(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        assertEndedInTime(cluster, cancelOnHangingMachines(cluster, MACHINES - 1));
    }

    /** Guards against a hanging machine that is kept because its owner and the leader don't hear from each other. */
    @ParameterizedTest
    @MethodSource("seeds")
    void oneMachineHangsWhilePeersArePartitioned(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        cluster.peersPartitioned = true;
        assertEndedInTime(cluster, cancelOnHangingMachines(cluster, 1));
    }

    /** Guards against a time without heartbeats that starts anew with a new owner or a new leader. */
    @ParameterizedTest
    @MethodSource("seeds")
    void ownersAndLeadersChange(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        List<FakeWorker> machines = cancelOnHangingMachines(cluster, MACHINES - 1);
        cluster.sim.run(cluster.sim.now().plusSeconds(5));
        cluster.crash(Math.max(0, cluster.leader()), Duration.ofSeconds(4));
        cluster.sim.run(cluster.sim.now().plusSeconds(8));
        cluster.crash(Math.max(0, cluster.leader()), Duration.ofSeconds(4));
        assertEndedInTime(cluster, machines);
    }

    /** Guards against a restarted leader that waits for the first heartbeat of machines that hang. */
    @ParameterizedTest
    @MethodSource("seeds")
    void allControllersCrash(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        List<FakeWorker> machines = cancelOnHangingMachines(cluster, MACHINES - 1);
        cluster.sim.run(cluster.sim.now().plusSeconds(2));
        for (int node = 0; node < 3; node++) {
            cluster.crash(node, Duration.ofSeconds(3));
        }
        assertEndedInTime(cluster, machines);
    }

    /** Guards against an operator's patience with silent machines that outlasts a cancellation. */
    @ParameterizedTest
    @MethodSource("seeds")
    void operatorsKeepSilentMachines(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        cluster.setOptions(0, Map.of("silent_return_s", 600.0));
        cluster.sim.run(cluster.sim.now().plusSeconds(2));
        assertEndedInTime(cluster, cancelOnHangingMachines(cluster, 1));
    }

    /** Guards against a leader that terminates nothing while the state service is out. */
    @ParameterizedTest
    @MethodSource("seeds")
    void stateServiceIsOut(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        List<FakeWorker> machines = cancelOnHangingMachines(cluster, 1 + (int) (seed % 4));
        cluster.sim.run(cluster.sim.now().plusSeconds(3));
        cluster.state.unavailable = true;
        cluster.sim.after(Duration.ofSeconds(38), cluster.state::recover);
        assertEndedInTime(cluster, machines);
    }

    /** Guards against a drain that waits for the end of tasks on a machine that hangs. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hangingMachineIsDraining(long seed) {
        SimulatedCluster cluster = clusterWithFullMachines(seed);
        FakeWorker machine = machineByJob.values().iterator().next();
        cluster.admin(cluster.leader(), "POST", "/v1/hosts/" + machine.id() + "/drain", "");
        assertEndedInTime(cluster, cancelOnHangingMachines(cluster, 1));
    }
}
