package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dunespindle.api.UserApi;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid and unsatisfiable requests of users: they are rejected at once with the reason, and valid jobs never are. */
class RequestsTest {
    private static final List<String> TEXTS = List.of("id", "jobclass", "owner", "shape", "rank", "bundle");
    private static final List<String> COUNTS = List.of("pieces");
    private static final List<String> AMOUNTS =
            List.of("vcpus", "accelerators", "ramGb", "imageGb", "guessS", "snapshotS", "flushS", "dueS");
    private static final List<String> FLAGS = List.of("samePlace", "apart", "driftwood");
    private static final List<JsonNode> INVALID_TEXTS =
            List.of(NullNode.instance, IntNode.valueOf(3), BooleanNode.TRUE, TextNode.valueOf(""));
    private static final List<JsonNode> INVALID_COUNTS = List.of(
            NullNode.instance,
            TextNode.valueOf("3"),
            DoubleNode.valueOf(2.5),
            IntNode.valueOf(0),
            IntNode.valueOf(-1),
            LongNode.valueOf(1L << 40));
    private static final List<JsonNode> INVALID_AMOUNTS = List.of(
            TextNode.valueOf("8"),
            BooleanNode.TRUE,
            DoubleNode.valueOf(-0.5),
            DoubleNode.valueOf(Double.NaN),
            DoubleNode.valueOf(Double.POSITIVE_INFINITY),
            DoubleNode.valueOf(1e300));
    private static final List<JsonNode> INVALID_FLAGS =
            List.of(NullNode.instance, IntNode.valueOf(1), TextNode.valueOf("true"));

    private static SimulatedCluster startedCluster() {
        var cluster = new SimulatedCluster(501);
        cluster.sim.run(Duration.ofSeconds(5));
        return cluster;
    }

    private static UserApi.Answer submit(SimulatedCluster cluster, ObjectNode body) {
        var result = cluster.submitBodyTo(1, body);
        cluster.sim.run(cluster.sim.now().plusSeconds(2));
        return result.join();
    }

    private static Submission validJob(int number) {
        return ClusterTest.job("wk-%06d".formatted(number), "red", JobKind.ARRAY, 2, false, true);
    }

    /** Each field is missing, null, of the wrong type, negative, not finite or too large. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rejectionNamesTheMissingOrInvalidField(long seed) {
        SimulatedCluster cluster = startedCluster();
        var random = new Random(seed);
        int number = 0;
        for (List<String> fields : List.of(TEXTS, COUNTS, AMOUNTS, FLAGS)) {
            List<JsonNode> invalid = fields == TEXTS
                    ? INVALID_TEXTS
                    : fields == COUNTS ? INVALID_COUNTS : fields == AMOUNTS ? INVALID_AMOUNTS : INVALID_FLAGS;
            for (String field : fields) {
                ObjectNode body = validJob(++number).toNode();
                body.set(field, invalid.get(random.nextInt(invalid.size())));
                var answer = submit(cluster, body);
                assertEquals(400, answer.status(), field + " is " + body.get(field));
                assertTrue(
                        answer.body().path("error").asText().contains(field),
                        answer.body().toString());
                if (!field.equals("dueS")) {
                    body.remove(field);
                    assertEquals(400, submit(cluster, body).status(), field + " is missing");
                }
            }
        }
        assertTrue(
                cluster.state.rows().keySet().stream().noneMatch(k -> k.startsWith("ds/job/")), "something was stored");
    }

    @ParameterizedTest
    @CsvSource({
        "stranger, ARRAY, 2, 1, '', '', ''",
        "red, ARRAY, 2, 5, '', '', ''",
        "red, GANG, 11, 1, '', '', ''",
        "red, ARRAY, 1, 1, crate, '', ''",
        "red, ARRAY, 1, 1, '', north, ''",
        "red, GANG, 2, 1, '', '', 'together apart'",
        "red, GANG, 2, 1, '', east, apart",
        "blue, GANG, 7, 1, '', '', ''"
    })
    void jobsThatCanNeverRunAreRejected(
            String team, JobKind shape, int tasks, double gpus, String type, String zone, String zoneRules) {
        SimulatedCluster cluster = startedCluster();
        var job = SubmissionBuilder.submission("wk-000001")
                .team(team)
                .kind(shape)
                .tasks(tasks)
                .perTask(new Resources(1, gpus, 1))
                .types(type.isEmpty() ? Optional.empty() : Optional.of(List.of(type)))
                .zone(zone.isEmpty() ? Optional.empty() : Optional.of(zone))
                .sameZone(zoneRules.contains("together"))
                .spread(zoneRules.contains("apart"))
                .spot(true)
                .imageGb(2)
                .estimate(Duration.ofSeconds(5))
                .build();
        var answer = submit(cluster, job.toNode());
        assertEquals(422, answer.status(), answer.body().toString());
        assertTrue(!answer.body().path("error").asText().isEmpty());
        assertEquals(404, cluster.poll(2, "wk-000001").join().status());
    }

    @Test
    void submissionsAreRetriableWhileTheCatalogIsUnknown() {
        var cluster = new SimulatedCluster(502);
        cluster.cloudUnreachable = true;
        cluster.sim.run(Duration.ofSeconds(6));
        for (Submission submission :
                List.of(validJob(1), ClusterTest.job("wk-000002", "red", JobKind.GANG, 50, false, true))) {
            var answer = submit(cluster, submission.toNode());
            assertEquals(503, answer.status());
            assertTrue(answer.retryAfter().isPresent());
        }
    }

    /** Resubmission and cancellation of a known job return its current state; cancellation of an unknown job returns 404. */
    @Test
    void repeatedRequestsReturnTheCurrentState() {
        SimulatedCluster cluster = startedCluster();
        cluster.jobs.put("wk-000001", validJob(1)); // its tasks may start before the submission is answered
        assertEquals(201, submit(cluster, validJob(1).toNode()).status());
        assertEquals(200, submit(cluster, validJob(1).toNode()).status());
        cluster.submit(validJob(1));
        cluster.sim.run(Duration.ofSeconds(60));
        assertEquals("done", cluster.lastReportedPhase("wk-000001"));
        assertEquals(
                "done",
                submit(cluster, validJob(1).toNode()).body().path("phase").asText());
        var cancelled = cluster.cancelAt(2, "wk-000001");
        assertEquals(200, cancelled.status());
        assertEquals("done", cancelled.body().path("phase").asText());
        assertEquals(404, cluster.cancelAt(0, "wk-000099").status());
        assertEquals(List.of(), cluster.violations);
    }
}
