package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.dunespindle.api.UserApi;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Situations from operation: faulty jobs, faulty machines, long pauses of a controller, bursts of polls, teams without a guarantee. */
class OperationsTest {
    static Submission array(String id, String team, Priority priority, int tasks) {
        return SubmissionBuilder.submission(id)
                .team(team)
                .priority(priority)
                .tasks(tasks)
                .spot(true)
                .image("image-1")
                .imageGb(2)
                .estimate(Duration.ofSeconds(5))
                .build();
    }

    static LongStream faultySeeds() {
        long from = Long.getLong("faulty.from", 601);
        return LongStream.range(from, from + Integer.getInteger("faulty.count", 4));
    }

    /**
     * Jobs fail on every machine. No machine may be terminated for them, their attempts must stay few, and other jobs proceed. Once
     * cancelled, they end.
     */
    @ParameterizedTest
    @MethodSource("faultySeeds")
    void faultyJobsDoNotAffectOtherJobs(long seed) {
        var cluster = new SimulatedCluster(seed);
        var faulty = List.of("wk-000101", "wk-000102", "wk-000103");
        cluster.faultyJobs.addAll(faulty);
        cluster.sim.after(2000, () -> {
            faulty.subList(0, 2).forEach(id -> cluster.submit(array(id, "red", Priority.NORMAL, 8)));
            cluster.submit(ClusterTest.job(faulty.get(2), "blue", JobKind.GANG, 3, false, true));
        });
        List<String> ids = ClusterTest.submitMixedJobs(cluster, 12);
        cluster.sim.run(Duration.ofSeconds(150));
        ClusterTest.assertAllDone(cluster, ids);
        String decisions = cluster.decisions();
        assertTrue(!decisions.contains("it fails its tasks"), decisions);
        assertTrue(decisions.contains("taken for faulty"), decisions);
        int attempts = faulty.stream()
                .mapToInt(id -> cluster.errors.getOrDefault(id, 0))
                .sum();
        assertTrue(attempts >= 4 && attempts < 90, attempts + " attempts in 150 s");
        assertTrue(cluster.admin(0, "GET", "/v1/jobs/wk-000101", "")
                        .join()
                        .body()
                        .path("failures")
                        .asInt()
                > 0);
        assertTrue(
                cluster.poll(1, "wk-000101").join().body().path("failures").asInt() > 0,
                "the user's answer shows no failures");
        faulty.forEach(cluster::cancel);
        cluster.sim.run(Duration.ofSeconds(200));
        assertEquals(List.of(), cluster.violations);
        faulty.forEach(id -> assertEquals("cancelled", cluster.lastReportedPhase(id)));
    }

    /** If the machine is faulty, its jobs run elsewhere and the machine is terminated. */
    @ParameterizedTest
    @ValueSource(longs = {611, 612, 613})
    void machineThatFailsEveryTaskIsTerminated(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = ClusterTest.submitMixedJobs(cluster, 16);
        cluster.sim.run(Duration.ofSeconds(5));
        FakeWorker faultyMachine = cluster.worker(0);
        faultyMachine.faulty(true);
        cluster.sim.run(Duration.ofSeconds(300));
        assertTrue(faultyMachine.dead(), "the machine was not terminated");
        ClusterTest.assertAllDone(cluster, ids);
    }

    /**
     * The leader or another controller freezes for 90 s and resumes. Users are served meanwhile and no machine is terminated because of it.
     */
    @ParameterizedTest
    @ValueSource(longs = {621, 622, 623, 624})
    void controllerResumesAfterALongFreeze(long seed) {
        var cluster = new SimulatedCluster(seed, 7, 10);
        cluster.submit(ClusterTest.job("wk-000101", "red", JobKind.SERVICE, 6, false, false));
        cluster.submit(ClusterTest.job("wk-000102", "blue", JobKind.SERVICE, 4, false, false));
        cluster.sim.run(Duration.ofSeconds(60));
        List<FakeWorker> used =
                cluster.alive().stream().filter(w -> w.occupiedSlots() > 0).toList();
        int leader = cluster.leader();
        int frozen = seed % 2 == 0 ? leader : (leader + 1) % 3;
        cluster.freeze(frozen, Duration.ofSeconds(90));
        var ids = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            cluster.sim.after(8000 + 9000L * i, () -> cluster.submit(array(id, "red", Priority.LOW, 2)));
        }
        cluster.sim.run(Duration.ofSeconds(145));
        ids.forEach(id -> assertEquals(
                "done",
                cluster.poll((frozen + 1) % 3, id).join().body().path("phase").asText(),
                id + " during the pause"));
        cluster.sim.run(Duration.ofSeconds(220));
        String decisions = cluster.decisions();
        assertTrue(
                !decisions.contains("has been silent")
                        && !decisions.contains("no controller hears")
                        && !decisions.contains("takes no commands"),
                decisions);
        assertEquals(
                List.of(),
                used.stream().filter(w -> w.session() > 1).map(FakeWorker::id).toList(),
                "workers with expired leases");
        assertEquals(List.of(), cluster.violations);
    }

    /** One read of the store answers all polls that wait for it, so a burst of polls causes few store calls. */
    @Test
    void burstOfPollsCausesFewStoreCalls() {
        var cluster = new SimulatedCluster(631);
        cluster.submit(array("wk-000001", "red", Priority.LOW, 4));
        cluster.sim.run(Duration.ofSeconds(7));
        int before = cluster.calls.counts.get("state");
        var answers = new ArrayList<CompletableFuture<UserApi.Answer>>();
        for (int k = 0; k < 200; k++) {
            cluster.sim.after(10L * k, () -> {
                for (int n = 0; n < 20; n++) {
                    answers.add(cluster.pollAsync(n % 3, "wk-000001"));
                }
            });
        }
        cluster.sim.run(Duration.ofSeconds(11));
        assertEquals(4000, answers.size());
        assertTrue(answers.stream().allMatch(a -> a.isDone() && a.join().status() == 200));
        int storeCalls = cluster.calls.counts.get("state") - before;
        assertTrue(storeCalls < 500, storeCalls + " calls to the state store for 4,000 polls");
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A team without a guarantee fills the fleet with one huge array. Jobs within another team's guarantee are done in time, and the array
     * is done too.
     */
    @Test
    void hugeArrayWithoutGuaranteeYieldsAndCompletes() {
        var cluster = new SimulatedCluster(641);
        Submission huge = SubmissionBuilder.submission("wk-000100")
                .jobClass("guest")
                .team("green")
                .priority(Priority.LOW)
                .tasks(120)
                .spot(true)
                .image("image-9")
                .imageGb(0.5)
                .estimate(Duration.ofSeconds(4))
                .build();
        cluster.submit(huge);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            cluster.sim.after(25_000 + 4000L * i, () -> cluster.submit(array(id, "red", Priority.LOW, 2)));
        }
        cluster.sim.run(Duration.ofSeconds(90));
        ids.forEach(id -> assertEquals(
                "done", cluster.lastReportedPhase(id), id + " is within its team's guarantee but is not done in time"));
        cluster.sim.run(Duration.ofSeconds(300));
        assertEquals("done", cluster.lastReportedPhase("wk-000100"));
        assertEquals(List.of(), cluster.violations);
    }
}
