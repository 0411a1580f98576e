package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.JobKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Transactions that release allocations and are applied long after they went unanswered, while the machine becomes reachable again. */
class LateReleaseTest {
    private static final Duration LATE_BY = Duration.ofSeconds(10);
    private static final String FILLING_JOB = "wk-000001";
    private static final String NEIGHBOR_JOB = "wk-000002";
    private static final String RELEASED_JOB = "wk-000003";

    /** Two machines with records on different pages: the first one is full, the second one has one free slot. */
    private static SimulatedCluster clusterWithOneFreeSlot(long seed) {
        var cluster = new SimulatedCluster(seed, 2, 10);
        cluster.taskDuration = Optional.of(Duration.ofMinutes(10));
        cluster.minLateWriteMillis = (int) LATE_BY.toMillis();
        cluster.lateWriteSpreadMillis = 1;
        submit(cluster, Duration.ofSeconds(1), FILLING_JOB, SimulatedCluster.SLOTS);
        submit(cluster, Duration.ofSeconds(14), NEIGHBOR_JOB, SimulatedCluster.SLOTS - 1);
        cluster.sim.run(Duration.ofSeconds(40));
        return cluster;
    }

    private static void submit(SimulatedCluster cluster, Duration at, String id, int tasks) {
        cluster.sim.after(
                at.minus(cluster.sim.now()),
                () -> cluster.submit(ClusterTest.job(id, "red", JobKind.ARRAY, tasks, false, false)));
    }

    private static FakeWorker machineOf(SimulatedCluster cluster, String job) {
        return cluster.alive().stream()
                .filter(worker -> worker.hasTaskOf(job))
                .findFirst()
                .orElseThrow(() -> new AssertionError(job + " runs nowhere: " + cluster.invariants.dump()));
    }

    private static void runUntilLateWrite(SimulatedCluster cluster, Duration latest) {
        while (!cluster.events.containsKey("late write") && cluster.sim.now().compareTo(latest) < 0) {
            cluster.sim.run(cluster.sim.now().plusMillis(5));
        }
        assertTrue(cluster.events.containsKey("late write"), () -> "no late write: " + cluster.decisions());
    }

    /**
     * Guards against a task that runs on two machines: its start could not be sent to a machine that refused connections, the release of
     * its allocation goes unanswered and is applied 10 s later, and meanwhile the machine is back and the start is sent after all.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 5, 7, 10, 13, 20, 23})
    void taskWhoseReleaseWentUnansweredIsNotStartedOnItsMachine(long seed) {
        SimulatedCluster cluster = clusterWithOneFreeSlot(seed);
        FakeWorker machine = machineOf(cluster, NEIGHBOR_JOB);
        machine.refusesConnections = true;
        cluster.submit(ClusterTest.job(RELEASED_JOB, "red", JobKind.ARRAY, 1, false, false));
        cluster.sim.run(cluster.sim.now().plusSeconds(4));
        cluster.lateWriteRate = 1;
        runUntilLateWrite(cluster, cluster.sim.now().plusSeconds(6));
        Duration appliedLateAt = cluster.sim.now().plus(LATE_BY);
        cluster.sim.run(cluster.sim.now().plusMillis(300));
        cluster.lateWriteRate = 0;
        machine.refusesConnections = false;
        cluster.sim.run(appliedLateAt.minusSeconds(2));
        cluster.cancel(FILLING_JOB); // makes room on the other machine
        cluster.sim.run(appliedLateAt.minusSeconds(1));
        machine.refusesConnections = true;
        cluster.sim.run(appliedLateAt.plusSeconds(8));
        machine.refusesConnections = false;
        cluster.sim.run(appliedLateAt.plusSeconds(30));
        assertEquals(List.of(), cluster.violations);
        assertEquals(
                "running",
                cluster.poll(0, RELEASED_JOB).join().body().path("phase").asText());
    }

    /**
     * Guards against the same for a task that had exited: the transaction that stores its failure is applied late, and meanwhile the
     * worker's lease expired, so that its status no longer shows the attempt and the task would be started once more.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 5, 7, 10, 13, 20, 23})
    void exitedTaskIsNotStartedAgainWhileItsTerminationMayStillBeStored(long seed) {
        SimulatedCluster cluster = clusterWithOneFreeSlot(seed);
        cluster.setOptions(0, Map.of("silent_return_s", 60.0)); // the machine is kept until it is back
        cluster.minLateWriteMillis = (int) SimulatedCluster.LEASE.plusSeconds(2).toMillis();
        FakeWorker machine = machineOf(cluster, NEIGHBOR_JOB);
        cluster.faultyJobs.add(RELEASED_JOB);
        cluster.submit(ClusterTest.job(RELEASED_JOB, "red", JobKind.ARRAY, 1, false, false));
        cluster.sim.run(cluster.sim.now().plusSeconds(2));
        cluster.lateWriteRate = 1;
        runUntilLateWrite(cluster, cluster.sim.now().plusSeconds(4));
        cluster.faultyJobs.remove(RELEASED_JOB);
        machine.refusesConnections = true;
        long session = machine.session();
        while (machine.session() == session) {
            cluster.sim.run(cluster.sim.now().plusMillis(50));
        }
        machine.refusesConnections = false;
        cluster.sim.run(cluster.sim.now().plusMillis(1500));
        cluster.lateWriteRate = 0;
        cluster.sim.run(cluster.sim.now().plusSeconds(30));
        assertEquals(List.of(), cluster.violations);
        assertEquals(
                "running",
                cluster.poll(0, RELEASED_JOB).join().body().path("phase").asText());
    }
}
