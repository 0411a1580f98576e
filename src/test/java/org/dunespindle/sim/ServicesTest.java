package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Services: replicas run until the service is cancelled and are restarted after any failure. */
class ServicesTest {
    private static final String ID = "wk-000100";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

    private static Submission service(String id, int replicas, boolean spread, boolean spot) {
        return SubmissionBuilder.submission(id)
                .jobClass("service")
                .team("blue")
                .kind(JobKind.SERVICE)
                .priority(Priority.CRITICAL)
                .tasks(replicas)
                .perTask(new Resources(1, 0, 1))
                .spread(spread)
                .spot(spot)
                .image("image-1")
                .estimate(Duration.ZERO)
                .build();
    }

    private static List<FakeWorker.Task> replicas(SimulatedCluster cluster) {
        return cluster.invariants.live().stream()
                .filter(t -> t.task.job().equals(ID) && t.phase.equals("running"))
                .toList();
    }

    private static Set<String> machines(SimulatedCluster cluster) {
        return replicas(cluster).stream().map(FakeWorker.Task::host).collect(Collectors.toSet());
    }

    /** Creates a cluster in which replicas run until they are stopped. */
    private static SimulatedCluster cluster(long seed) {
        var cluster = new SimulatedCluster(seed);
        cluster.taskDurationOverride =
                task -> task.job().equals(ID) ? Optional.of(Duration.ofHours(1)) : Optional.empty();
        return cluster;
    }

    private static SimulatedCluster running(long seed, boolean spread, boolean spot) {
        SimulatedCluster cluster = cluster(seed);
        cluster.submit(service(ID, 4, spread, spot));
        cluster.sim.run(START_TIMEOUT);
        assertEquals(4, replicas(cluster).size(), "replicas after " + START_TIMEOUT);
        return cluster;
    }

    /** Cancels the service and asserts that its replicas end in time and that no invariant was violated. */
    private static void cancelAndAssertGone(SimulatedCluster cluster) {
        cluster.cancel(ID);
        cluster.sim.run(cluster.sim.now().plus(SimulatedCluster.CANCEL_TIMEOUT));
        assertEquals("cancelled", cluster.lastReportedPhase(ID));
        assertEquals(List.of(), replicas(cluster));
        assertEquals(List.of(), cluster.violations);
    }

    private static void awaitReplicas(SimulatedCluster cluster, Duration timeout) {
        Duration until = cluster.sim.now().plus(timeout);
        while (replicas(cluster).size() < 4 && cluster.sim.now().compareTo(until) < 0) {
            cluster.sim.run(cluster.sim.now().plusMillis(100));
        }
        assertEquals(4, replicas(cluster).size(), "replicas after " + timeout);
    }

    @Test
    void servicesNeedNoEstimateAndNeverComplete() {
        SimulatedCluster cluster = running(901, false, false);
        cluster.sim.run(Duration.ofSeconds(200));
        var answer = cluster.pollAsync(0, ID);
        cluster.sim.run(cluster.sim.now().plusSeconds(2));
        assertEquals("running", answer.join().body().path("phase").asText());
        assertEquals(4, answer.join().body().path("running").asInt());
        cancelAndAssertGone(cluster);
    }

    @Test
    void serviceBeyondItsTeamsLimitIsRejected() {
        var cluster = new SimulatedCluster(902);
        cluster.sim.run(Duration.ofSeconds(5));
        Submission large = ClusterTest.job(ID, "blue", JobKind.SERVICE, SimulatedCluster.LIMIT_BLUE + 1, false, false);
        var answer = cluster.submitTo(0, large);
        cluster.sim.run(cluster.sim.now().plusSeconds(2));
        assertEquals(422, answer.join().status());
    }

    /** Replicas of a crashed machine are restarted elsewhere once the machine is known to be lost. */
    @ParameterizedTest
    @ValueSource(longs = {903, 904, 905})
    void replicasOfACrashedMachineAreRestarted(long seed) {
        SimulatedCluster cluster = running(seed, false, false);
        cluster.crashMachine(cluster.workers.get(machines(cluster).iterator().next()));
        awaitReplicas(cluster, Duration.ofSeconds(45));
        cancelAndAssertGone(cluster);
    }

    /** After a spot interruption notice a replica moves to another machine before the termination, with a short interruption only. */
    @ParameterizedTest
    @ValueSource(longs = {906, 907, 908})
    void replicasMoveBeforeASpotInterruption(long seed) {
        SimulatedCluster cluster = running(seed, false, true);
        FakeWorker noticed = cluster.workers.get(machines(cluster).iterator().next());
        cluster.interruptMachine(noticed, Duration.ofSeconds(20));
        cluster.sim.run(cluster.sim.now().plusSeconds(18));
        assertTrue(!noticed.dead && !machines(cluster).contains(noticed.id()), "still on the machine");
        assertEquals(4, replicas(cluster).size());
        cancelAndAssertGone(cluster);
    }

    /** Replicas never end by themselves, so they must be moved off a drained machine for it to become empty. */
    @ParameterizedTest
    @ValueSource(longs = {916, 917})
    void replicasLeaveADrainedMachine(long seed) {
        SimulatedCluster cluster = running(seed, false, false);
        String drained = machines(cluster).iterator().next();
        int status = cluster.admin(1, "POST", "/v1/hosts/" + drained + "/drain", "")
                .join()
                .status();
        assertEquals(200, status);
        cluster.sim.run(cluster.sim.now().plusSeconds(60));
        assertEquals(4, replicas(cluster).size());
        assertTrue(!machines(cluster).contains(drained), "still on the machine");
        assertTrue(!cluster.workers.containsKey(drained), "the drained machine was not terminated");
        cancelAndAssertGone(cluster);
    }

    /** A zone fails with half of the replicas. The other zone runs as many as the spread constraint allows. */
    @ParameterizedTest
    @ValueSource(longs = {909, 910, 911})
    void replicasOfTheOtherZoneRunAfterAZoneFailure(long seed) {
        SimulatedCluster cluster = running(seed, true, false);
        cluster.alive().stream().filter(w -> w.zone.equals("east")).forEach(cluster::crashMachine);
        cluster.crash(cluster.leader(), Duration.ofSeconds(8));
        cluster.sim.run(cluster.sim.now().plusSeconds(60));
        long west = cluster.invariants.live().stream()
                .filter(t -> t.task.job().equals(ID)
                        && cluster.workers.get(t.host()).zone.equals("west"))
                .count();
        assertEquals(2, west);
        cancelAndAssertGone(cluster);
    }

    /** Replicas on a machine that fails all its tasks are restarted elsewhere. */
    @ParameterizedTest
    @ValueSource(longs = {912, 913})
    void replicasLeaveFaultyMachines(long seed) {
        SimulatedCluster cluster = running(seed, false, false);
        FakeWorker faultyMachine =
                cluster.workers.get(machines(cluster).iterator().next());
        faultyMachine.faulty = true;
        faultyMachine.tasks().forEach(t -> t.exit("error"));
        cluster.markTasksChanged();
        awaitReplicas(cluster, Duration.ofSeconds(60));
        cancelAndAssertGone(cluster);
    }

    /** The cluster is full of low-priority tasks; they are preempted without delay. */
    @Test
    void lowerPriorityTasksArePreempted() {
        SimulatedCluster cluster = cluster(914);
        cluster.taskDuration = Optional.of(Duration.ofMinutes(20));
        cluster.submit(OperationsTest.array("wk-000001", "red", Priority.LOW, 10));
        cluster.submit(OperationsTest.array("wk-000002", "green", Priority.LOW, 40));
        cluster.sim.run(Duration.ofSeconds(60));
        cluster.submit(service(ID, 4, false, true));
        awaitReplicas(cluster, Duration.ofSeconds(15));
        cancelAndAssertGone(cluster);
    }

    @Test
    void administrationShowsWantedAndRunningReplicas() {
        SimulatedCluster cluster = running(915, false, false);
        var job = cluster.admin(0, "GET", "/v1/jobs/" + ID, "").join().body();
        assertEquals(4, job.path("replicasWanted").asInt(), job.toString());
        assertEquals(4, job.path("replicasRunning").asInt());
        assertEquals(0, job.path("replicasRestarting").asInt());
        cancelAndAssertGone(cluster);
    }
}
