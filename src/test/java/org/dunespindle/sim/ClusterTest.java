package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers against a simulated environment in virtual time, without faults and with faults drawn from fixed seeds. */
class ClusterTest {
    static Submission job(String id, String team, JobKind shape, int tasks, boolean sameZone, boolean spot) {
        return SubmissionBuilder.submission(id)
                .team(team)
                .kind(shape)
                .priority(shape == JobKind.GANG ? Priority.URGENT : Priority.LOW)
                .tasks(tasks)
                .sameZone(sameZone)
                .spot(spot)
                .image("image-" + tasks % 2)
                .imageGb(2)
                .estimate(Duration.ofSeconds(5))
                .build();
    }

    static List<String> submitMixedJobs(SimulatedCluster cluster, int count) {
        var ids = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            Submission job = job(
                    id,
                    i % 2 == 0 ? "red" : "blue",
                    i % 3 == 0 ? JobKind.GANG : JobKind.ARRAY,
                    i % 3 == 0 ? 1 + i % 4 : 2 + i % 5,
                    i % 2 == 0,
                    i % 4 != 0);
            cluster.sim.after(500L + i * 900L, () -> cluster.submit(job));
        }
        return ids;
    }

    static void assertAllDone(SimulatedCluster cluster, List<String> ids) {
        assertEquals(List.of(), cluster.violations);
        for (String id : ids) {
            assertEquals("done", cluster.lastReportedPhase(id), id);
        }
    }

    @Test
    void allJobsCompleteWithoutFaults() {
        var cluster = new SimulatedCluster(1);
        List<String> ids = submitMixedJobs(cluster, 14);
        cluster.sim.run(Duration.ofSeconds(240));
        assertAllDone(cluster, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7, 8, 9})
    void invariantsHoldThroughLossDuplicatesAndCrashes(long seed) {
        var cluster = new SimulatedCluster(seed);
        cluster.lossRate = 0.02;
        cluster.duplicateRate = 0.1;
        List<String> ids = submitMixedJobs(cluster, 14);
        for (int i = 0; i < 5; i++) {
            int pick = cluster.sim.random.nextInt(50);
            cluster.sim.after(8000L + cluster.sim.random.nextInt(50_000), () -> {
                if (cluster.worker(pick) != null) {
                    cluster.disconnect(cluster.worker(pick), Duration.ofSeconds(2 + pick % 17));
                }
            });
            cluster.sim.after(
                    8000L + cluster.sim.random.nextInt(50_000),
                    () -> cluster.crash(pick % 3, Duration.ofMillis(200 + pick * 150L)));
        }
        int dead = cluster.sim.random.nextInt(50);
        cluster.sim.after(30_000, () -> {
            if (cluster.worker(dead) != null) {
                cluster.crashMachine(cluster.worker(dead));
            }
        });
        cluster.sim.after(20_000L + cluster.sim.random.nextInt(20_000), () -> cluster.state.unavailable = true);
        cluster.sim.after(48_000, cluster.state::recover);
        cluster.sim.run(Duration.ofSeconds(500));
        assertAllDone(cluster, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void allControllersCrashAtAnyStageOfAGang(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = submitMixedJobs(cluster, 10);
        for (int k = 0; k < 4; k++) {
            long at = 7000L + cluster.sim.random.nextInt(25_000);
            for (int n = 0; n < 3; n++) {
                int node = n;
                cluster.sim.after(at, () -> cluster.crash(node, Duration.ofMillis(300 + node * 900L)));
            }
        }
        cluster.sim.run(Duration.ofSeconds(400));
        assertAllDone(cluster, ids);
    }

    @Test
    void restartedControllersKeepMachinesWithoutAHeartbeatYet() {
        var cluster = new SimulatedCluster(14);
        // A service keeps a machine in use for far longer than three times its boot time.
        cluster.submit(job("wk-000001", "red", JobKind.SERVICE, 2, false, false));
        cluster.sim.run(Duration.ofSeconds(100));
        int before = cluster.terminatedMachines;
        for (int n = 0; n < 3; n++) {
            cluster.crash(n, Duration.ofMillis(2000));
        }
        cluster.sim.run(Duration.ofSeconds(115));
        assertEquals(before, cluster.terminatedMachines);
        assertEquals(List.of(), cluster.violations);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void allJobsCompleteWhileTheStoreRejectsOneController(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = submitMixedJobs(cluster, 12);
        int node = (int) (seed % 3);
        cluster.sim.after(9000, () -> cluster.refusedNode = node);
        cluster.sim.after(40_000, () -> cluster.refusedNode = -1);
        cluster.sim.run(Duration.ofSeconds(300));
        assertAllDone(cluster, ids);
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void machinesReachableByOneControllerAreTakenOverByIt(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = submitMixedJobs(cluster, 12);
        cluster.sim.after(10_000, () -> {
            for (int m = 0; m < 4; m++) {
                for (int n = 0; n < 3; n++) {
                    if (n != m % 3 && cluster.worker(m) != null) {
                        cluster.block(n, cluster.worker(m));
                    }
                }
            }
        });
        cluster.sim.run(Duration.ofSeconds(400));
        assertAllDone(cluster, ids);
    }

    @Test
    void machinesRentedLateAreUsedOrTerminated() {
        var cluster = new SimulatedCluster(61);
        cluster.delayNextRental = true;
        List<String> ids = submitMixedJobs(cluster, 6);
        cluster.sim.run(Duration.ofSeconds(400));
        assertAllDone(cluster, ids);
        assertEquals(null, cluster.worker(0), "idle machines are terminated, the ones rented late too");
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void cancelledJobsEndInTime(long seed) {
        var cluster = new SimulatedCluster(seed);
        cluster.lossRate = 0.02;
        List<String> ids = submitMixedJobs(cluster, 12);
        for (int i = 0; i < ids.size(); i += 2) {
            String id = ids.get(i);
            cluster.sim.after(4000L + i * 1500L, () -> cluster.cancel(id));
        }
        int pick = cluster.sim.random.nextInt(9);
        cluster.sim.after(9000, () -> {
            if (cluster.worker(pick) != null) {
                cluster.disconnect(cluster.worker(pick), Duration.ofSeconds(25));
            }
        });
        cluster.sim.after(12_000, () -> cluster.crash(pick % 3, Duration.ofSeconds(6)));
        cluster.sim.run(Duration.ofSeconds(400));
        assertEquals(List.of(), cluster.violations);
        for (String id : ids) {
            String last = cluster.lastReportedPhase(id);
            assertEquals(true, last.equals("done") || last.equals("cancelled"), id + " is " + last);
        }
    }
}
