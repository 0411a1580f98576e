package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import org.dunespindle.api.UserApi;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A cell that has finished many jobs: they stay known, and a controller's memory doesn't grow with them. */
class FinishedJobsTest {
    private static final int NODES = 3;
    private static final int HISTORY = 20_000;
    /** Ended jobs, looked-up jobs and cancelled jobs, 2,000 of each, and what belongs to the few open jobs; see docs/design/ended-jobs.md. */
    private static final int MAX_RETAINED_ENTRIES = 3 * 2000 + 500;

    private static final int REMEMBERED = 60;
    private static final Duration RESTART_DELAY = Duration.ofSeconds(4);
    /** After this time without an answer about a job it counts as forgotten. */
    private static final Duration FORGOTTEN_AFTER = Duration.ofSeconds(75);

    private static final double REQUESTS_PER_SECOND = 150;
    private static final double WRITES_PER_SECOND = 25;
    private static final Set<Integer> KNOWN_OR_UNAVAILABLE = Set.of(200, 503);

    private static SimulatedCluster cluster(long seed) {
        return new SimulatedCluster(seed, ClusterShape.of(7, 1).withStateRates(REQUESTS_PER_SECOND, WRITES_PER_SECOND));
    }

    private static int retainedEntries(SimulatedCluster cluster, int node) {
        JsonNode replica = cluster.admin(node, "GET", "/v1/replica", "").join().body();
        return replica.path("jobs").asInt()
                + replica.path("keys").asInt()
                + replica.path("cancelledJobs").asInt();
    }

    private static void assertBounded(SimulatedCluster cluster, String when) {
        for (int node = 0; node < NODES; node++) {
            int retained = retainedEntries(cluster, node);
            assertTrue(retained <= MAX_RETAINED_ENTRIES, "n" + node + " retains " + retained + " entries " + when);
        }
    }

    private static void crashAll(SimulatedCluster cluster) {
        for (int node = 0; node < NODES; node++) {
            cluster.crash(node, RESTART_DELAY);
        }
    }

    private static void runFor(SimulatedCluster cluster, Duration length) {
        cluster.sim.run(cluster.sim.now().plus(length));
    }

    /** Asks every running controller about every id, paced so that the look-ups are not refused, and returns the answers. */
    private static List<UserApi.Answer> askAll(SimulatedCluster cluster, int count, int step) {
        var answers = new ArrayList<CompletableFuture<UserApi.Answer>>();
        for (int i = 0; i < count * step; i += step) {
            for (int node = 0; node < NODES; node++) {
                answers.add(cluster.pollAsync(node, JobHistory.id(i)));
            }
            runFor(cluster, Duration.ofMillis(100));
        }
        runFor(cluster, Duration.ofSeconds(3));
        return answers.stream().map(CompletableFuture::join).toList();
    }

    /** Guards against a cell whose finished jobs exhaust the heap of every controller that starts. */
    @Test
    void aControllerThatStartsRetainsABoundedNumberOfFinishedJobs() {
        SimulatedCluster cluster = cluster(1);
        JobHistory.store(cluster, HISTORY, REMEMBERED);
        cluster.sim.run(Duration.ofSeconds(20));
        assertBounded(cluster, "after the first start");
        crashAll(cluster);
        runFor(cluster, Duration.ofSeconds(20));
        assertBounded(cluster, "after the crash");
        List<UserApi.Answer> answers = askAll(cluster, 2500, 8);
        assertTrue(answers.stream().allMatch(answer -> KNOWN_OR_UNAVAILABLE.contains(answer.status())));
        long found = answers.stream().filter(answer -> answer.status() == 200).count();
        assertTrue(found > answers.size() * 0.99, found + " of " + answers.size() + " questions were answered");
        assertBounded(cluster, "after polls of old ids");
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against the same in a cell that runs on while its jobs finish. */
    @Test
    void aRunningControllerRetainsABoundedNumberOfFinishedJobs() {
        SimulatedCluster cluster = cluster(2);
        cluster.sim.run(Duration.ofSeconds(5));
        for (int i = 0; i < HISTORY; i++) {
            String key = Keys.job(JobHistory.id(i));
            if (i % 2 == 0) {
                cluster.state.write(key, openRecord(i));
            }
            cluster.state.write(key, JobHistory.record(i));
            if (i % 200 == 0) {
                runFor(cluster, Duration.ofMillis(300));
                cluster.state.compactLog();
            }
        }
        runFor(cluster, Duration.ofSeconds(5));
        assertBounded(cluster, "while jobs finish");
        for (UserApi.Answer answer : askAll(cluster, 50, HISTORY / 50)) {
            assertEquals(200, answer.status());
        }
        assertEquals(List.of(), cluster.violations);
    }

    private static JsonNode openRecord(int job) {
        return JobRecord.accepted(
                        ClusterTest.job(JobHistory.id(job), "red", JobKind.ARRAY, 1, false, false),
                        Instant.ofEpochSecond(1_700_000_000))
                .toNode();
    }

    private record Request(String name, IntFunction<CompletableFuture<UserApi.Answer>> send) {}

    private static List<Request> requests(SimulatedCluster cluster, JobHistory history, String id) {
        return List.of(
                new Request("poll", node -> cluster.pollAsync(node, id)),
                new Request("submission", node -> cluster.submitTo(node, history.submission(id))),
                new Request("withdrawal", node -> {
                    var answer = new CompletableFuture<UserApi.Answer>();
                    cluster.cancelAsync(node, id, answer::complete);
                    return answer;
                }));
    }

    /** Sends every kind of request about a job to every controller and returns the statuses of the answers, by request. */
    private static List<String> ask(SimulatedCluster cluster, JobHistory history, int job, Duration wait) {
        var answers = new ArrayList<String>();
        for (Request request : requests(cluster, history, JobHistory.id(job))) {
            for (int node = 0; node < NODES; node++) {
                if (cluster.isRunning(node)) {
                    String asked = request.name + " of " + JobHistory.id(job) + " at n" + node + " ";
                    request.send.apply(node).thenAccept(answer -> answers.add(asked + describe(answer, job)));
                }
            }
        }
        runFor(cluster, wait);
        return answers;
    }

    private static String describe(UserApi.Answer answer, int job) {
        String phase = answer.body().path("phase").asText();
        return answer.status() == 200 && phase.equals(JobHistory.phase(job)) ? "200" : answer.status() + phase;
    }

    private static List<String> except(List<String> answers, String... endings) {
        return answers.stream()
                .filter(answer -> List.of(endings).stream().noneMatch(answer::endsWith))
                .toList();
    }

    /** Guards against accepted jobs that nobody is told about, or that are denied, after all controllers have crashed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oldJobsStayKnownWhenAllControllersCrash(long seed) {
        SimulatedCluster cluster = cluster(seed);
        JobHistory history = JobHistory.store(cluster, HISTORY, REMEMBERED);
        cluster.sim.run(Duration.ofSeconds(15));
        crashAll(cluster);
        Duration crashedAt = cluster.sim.now();
        var answeredBy = new TreeSet<String>();
        while (cluster.sim.now().minus(crashedAt).compareTo(FORGOTTEN_AFTER) < 0) {
            for (int job : new int[] {7, 13, 7777, HISTORY - 1}) {
                List<String> answers = ask(cluster, history, job, Duration.ofMillis(500));
                assertEquals(List.of(), except(answers, " 200", " 503"));
                answers.stream().filter(answer -> answer.endsWith(" 200")).forEach(answeredBy::add);
            }
        }
        assertEquals(4 * 3 * NODES, answeredBy.size(), () -> "answered: " + answeredBy);
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against a failed look-up that is taken for a job that was never accepted, when the state service is out. */
    @Test
    void anOutageIsNoProofThatAJobWasNeverAccepted() {
        SimulatedCluster cluster = cluster(4);
        JobHistory history = JobHistory.store(cluster, HISTORY, REMEMBERED);
        cluster.sim.run(Duration.ofSeconds(15));
        cluster.state.unavailable = true;
        int unavailable = 0;
        for (int job = 1; job <= 40; job++) {
            List<String> answers = ask(cluster, history, job, Duration.ofMillis(300));
            assertEquals(List.of(), except(answers, " 200", " 503"));
            unavailable += except(answers, " 200").size();
        }
        assertTrue(unavailable > 0, "no look-up failed");
        runFor(cluster, Duration.ofSeconds(5));
        cluster.state.recover();
        runFor(cluster, Duration.ofSeconds(10));
        for (int job = 1; job <= 40; job++) {
            assertEquals(List.of(), except(ask(cluster, history, job, Duration.ofSeconds(2)), " 200"));
        }
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against the same for look-ups that the state service refuses because of its rate limit. */
    @Test
    void aRefusedLookupIsNoProofThatAJobWasNeverAccepted() {
        SimulatedCluster cluster = cluster(5);
        JobHistory history = JobHistory.store(cluster, HISTORY, REMEMBERED);
        cluster.sim.run(Duration.ofSeconds(15));
        cluster.state.limitRates(REQUESTS_PER_SECOND / 20, WRITES_PER_SECOND);
        int refusedBefore = cluster.state.rejectedByRateLimit;
        for (int job = 0; job < 100; job++) {
            assertEquals(List.of(), except(ask(cluster, history, job, Duration.ofMillis(150)), " 200", " 503"));
        }
        assertTrue(cluster.state.rejectedByRateLimit > refusedBefore + 100, "the rate limit was not reached");
        cluster.state.limitRates(REQUESTS_PER_SECOND, WRITES_PER_SECOND);
        runFor(cluster, Duration.ofSeconds(10));
        for (int job = 0; job < 20; job++) {
            assertEquals(List.of(), except(ask(cluster, history, job, Duration.ofSeconds(2)), " 200"));
        }
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against questions about old and invented jobs that take the requests which leases and commits need. */
    @ParameterizedTest
    @ValueSource(longs = {6, 7})
    void aFloodOfPollsForOldAndInventedJobsStarvesNothing(long seed) {
        SimulatedCluster cluster = cluster(seed);
        JobHistory.store(cluster, HISTORY, REMEMBERED);
        cluster.sim.run(Duration.ofSeconds(20));
        int leader = cluster.leader();
        var statuses = new TreeSet<Integer>();
        for (int i = 0; i < 6000; i++) {
            int old = i;
            for (int node = 0; node < NODES; node++) {
                cluster.pollAsync(node, JobHistory.id(old)).thenAccept(answer -> statuses.add(answer.status()));
                cluster.pollAsync(node, JobHistory.unknownId(old)).thenAccept(answer -> {
                    assertTrue(answer.status() == 404 || answer.status() == 503, "invented: " + answer);
                });
            }
            if (i == 200) {
                cluster.submit(ClusterTest.job("wk-000001", "red", JobKind.ARRAY, 3, false, false));
                cluster.submit(ClusterTest.job("wk-000002", "blue", JobKind.GANG, 2, false, false));
            }
            runFor(cluster, Duration.ofMillis(10));
        }
        assertTrue(statuses.contains(200) && KNOWN_OR_UNAVAILABLE.containsAll(statuses), statuses::toString);
        assertEquals(leader, cluster.leader());
        assertEquals(0, cluster.events.getOrDefault("controller gave up", 0));
        assertTrue(cluster.isOver("wk-000001") && cluster.isOver("wk-000002"), cluster::decisions);
        assertEquals(0, cluster.state.rejectedByRateLimit, "requests beyond the state service's limit");
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against a controller that answers something older than another one just did, while its replica lags. */
    @ParameterizedTest
    @ValueSource(longs = {8, 9})
    void afterTheEndWasToldNoControllerAnswersAnythingOlder(long seed) {
        SimulatedCluster cluster = cluster(seed);
        JobHistory.store(cluster, HISTORY, REMEMBERED);
        cluster.sim.run(Duration.ofSeconds(15));
        for (int round = 0; round < 10; round++) {
            String id = "wk-%06d".formatted(round);
            cluster.submit(ClusterTest.job(id, "red", JobKind.ARRAY, 1, false, false));
            while (!isDoneAt(cluster, 0, id)) {
                assertTrue(cluster.sim.now().compareTo(Duration.ofMinutes(10)) < 0, () -> id + " does not end");
            }
            Duration toldAt = cluster.sim.now();
            var answers = new ArrayList<CompletableFuture<UserApi.Answer>>();
            while (cluster.sim.now().minus(toldAt).compareTo(Duration.ofSeconds(3)) < 0) {
                for (int node = 0; node < NODES; node++) {
                    answers.add(cluster.pollAsync(node, id));
                }
                runFor(cluster, Duration.ofMillis(20));
            }
            runFor(cluster, Duration.ofSeconds(2));
            for (CompletableFuture<UserApi.Answer> answer : answers) {
                boolean isDone = answer.join().body().path("phase").asText().equals("done");
                assertTrue(isDone || answer.join().status() == 503, () -> id + ": " + answer.join());
            }
        }
        assertEquals(List.of(), cluster.violations);
    }

    private static boolean isDoneAt(SimulatedCluster cluster, int node, String id) {
        CompletableFuture<UserApi.Answer> answer = cluster.pollAsync(node, id);
        runFor(cluster, Duration.ofMillis(200));
        return answer.isDone() && answer.join().body().path("phase").asText().equals("done");
    }
}
