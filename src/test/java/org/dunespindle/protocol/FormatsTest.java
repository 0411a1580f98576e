package org.dunespindle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.dunespindle.TestSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that encoded messages can be decoded again, and that arbitrary or damaged input and invalid settings are either read or rejected
 * with a {@link MalformedMessageException} that names the field, never with another exception.
 */
class FormatsTest {
    @Provide
    Arbitrary<Submission> submissions() {
        var amounts = Arbitraries.doubles().between(0, 1000).ofScale(2);
        var seconds = Arbitraries.integers().between(0, 100_000).map(i -> Duration.ofMillis(i * 10L));
        var names = Arbitraries.strings().withCharRange('a', 'z').ofMinLength(1).ofMaxLength(12);
        var sizes = Combinators.combine(amounts, amounts, amounts).as(Resources::new);
        var flags = Arbitraries.of(true, false);
        return Combinators.combine(
                        names,
                        sizes,
                        seconds,
                        Arbitraries.integers().between(1, Submission.MAX_TASKS),
                        Arbitraries.of(JobKind.values()),
                        Arbitraries.of(Priority.values()),
                        flags,
                        Arbitraries.longs().between(0, 999_999))
                .as((name, size, time, tasks, kind, priority, flag, number) -> new Submission(
                        "wk-%06d".formatted(number),
                        name,
                        name,
                        kind,
                        priority,
                        tasks,
                        size,
                        flag ? Optional.of(List.of(name, "x")) : Optional.empty(),
                        flag ? Optional.empty() : Optional.of(name),
                        flag,
                        !flag,
                        flag,
                        name,
                        size.ramGb(),
                        time,
                        time,
                        time,
                        flag ? Optional.of(time) : Optional.empty()));
    }

    @Property(seed = "1", tries = 200)
    void submissionsAreUnchangedByEncodingAndDecoding(@ForAll("submissions") Submission submission)
            throws MalformedMessageException {
        assertEquals(submission, Submission.parse(MessagePackCodec.read(MessagePackCodec.write(submission.toNode()))));
    }

    @Property(seed = "2", tries = 500)
    void arbitraryBytesAreReadOrRejected(@ForAll byte[] bytes) {
        readOrReject(bytes);
    }

    @Property(seed = "3", tries = 300)
    void damagedSubmissionsAreReadOrRejected(
            @ForAll("submissions") Submission submission, @ForAll int where, @ForAll byte what) {
        byte[] bytes = MessagePackCodec.write(submission.toNode());
        bytes[Math.floorMod(where, bytes.length)] = what;
        readOrReject(bytes);
    }

    private static void readOrReject(byte[] bytes) {
        try {
            JsonNode node = MessagePackCodec.read(bytes);
            Submission.parse(node);
            WorkerHeartbeat.parse(node);
        } catch (MalformedMessageException e) {
            assertTrue(e.getMessage().length() < 200, e.getMessage());
        }
    }

    @Property(seed = "4", tries = 200)
    void missingOrInvalidFieldsOfASubmissionAreRejected(
            @ForAll("submissions") Submission submission, @ForAll int which) {
        ObjectNode node = submission.toNode();
        List<String> required = List.of(
                "id",
                "jobclass",
                "owner",
                "shape",
                "rank",
                "pieces",
                "vcpus",
                "accelerators",
                "ramGb",
                "samePlace",
                "apart",
                "driftwood",
                "bundle",
                "imageGb",
                "guessS",
                "snapshotS",
                "flushS");
        String field = required.get(Math.floorMod(which, required.size()));
        node.putObject(field);
        var exception = assertThrows(MalformedMessageException.class, () -> Submission.parse(node));
        assertTrue(exception.getMessage().contains(field), exception.getMessage());
        node.remove(field);
        assertThrows(MalformedMessageException.class, () -> Submission.parse(node));
    }

    @Test
    void aBodyThatIsEmptyOrHasTrailingBytesIsRejected() {
        byte[] two = {(byte) 0x80, (byte) 0x80};
        assertThrows(MalformedMessageException.class, () -> MessagePackCodec.read(two));
        assertThrows(MalformedMessageException.class, () -> MessagePackCodec.read(new byte[0]));
    }

    @Test
    void onlyIdsOfTheDocumentedFormAreAccepted() {
        assertTrue(Submission.wellFormedId("wk-000412"));
        for (String bad : List.of("", "wk-", "-1", "WK-1", "wk-1/2", "wk_1", "wk-1a", "wk-" + "1".repeat(80))) {
            assertEquals(false, Submission.wellFormedId(bad), bad);
        }
    }

    @Property(seed = "5", tries = 200)
    void taskIdsAreUnchangedByFormattingAndParsing(@ForAll("numbers") int index) {
        var id = new TaskId("wk-000001", index);
        assertEquals(Optional.of(id), TaskId.parse(id.toString()));
    }

    @Provide
    Arbitrary<Integer> numbers() {
        return Arbitraries.integers().between(0, Integer.MAX_VALUE);
    }

    @Test
    void heartbeatsCarryInterruptionNoticesAndExitCauses() throws MalformedMessageException {
        ObjectNode n = MessagePackCodec.map()
                .put("host", "i-1")
                .put("address", "a:1")
                .put("hull", "g")
                .put("dune", "z")
                .put("driftwood", true)
                .put("tenure", 2)
                .put("tick", 7)
                .put("baton", 9)
                .put("warningS", 12.5)
                .put("more", "ignored");
        n.putArray("pieces")
                .addObject()
                .put("piece", "wk-1/3")
                .put("try", 4)
                .put("phase", "exited")
                .put("cause", "no_room");
        WorkerHeartbeat heartbeat = WorkerHeartbeat.parse(MessagePackCodec.read(MessagePackCodec.write(n)));
        assertEquals(Optional.of(Duration.ofMillis(12_500)), heartbeat.interruptionNotice());
        assertEquals(
                Optional.of(ExitCause.NO_ROOM),
                heartbeat.find(new TaskId("wk-1", 3), 4).orElseThrow().cause());
    }

    @Test
    void invalidSettingsAreRejectedWithTheField() throws Exception {
        JsonNode good = TestSettings.node("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "");
        Settings s = Settings.parse(good);
        assertEquals(Double.POSITIVE_INFINITY, s.teams().get("red").cpusMax());
        ((ObjectNode) good.at("/deployment/workers")).put("lease_s", "soon");
        assertTrue(assertThrows(MalformedMessageException.class, () -> Settings.parse(good))
                .getMessage()
                .contains("deployment.workers.lease_s"));
        ((ObjectNode) good).put("front", "nowhere");
        assertTrue(assertThrows(MalformedMessageException.class, () -> Settings.parse(good))
                        .getMessage()
                        .length()
                > 5);
    }

    @ParameterizedTest
    @CsvSource({
        "deployment.resources, fd_limit, \"many\"",
        "deployment.resources, fd_limit, -3",
        "deployment.workers, lease_s, 0.5",
        "deployment.state, write_rps, 0",
        "deployment.state, txn_ops, \"x\"",
        "deployment.cloud, list_lag_s, true",
        "'', front, \"nowhere\"",
        "outside, state, \"x:y\""
    })
    void settingsOutOfRangeAreRejectedWithTheField(String table, String field, String value) throws Exception {
        JsonNode file = TestSettings.node("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "");
        ((ObjectNode) file.path("deployment")).putObject("resources").put("fd_limit", 900);
        Settings.parse(file);
        JsonNode at = file;
        for (String part : table == null || table.isEmpty() ? new String[0] : table.split("\\.")) {
            at = at.path(part);
        }
        ((ObjectNode) at).set(field, new ObjectMapper().readTree(value));
        String message = assertThrows(MalformedMessageException.class, () -> Settings.parse(file))
                .getMessage();
        assertTrue(message.contains(field) && message.lines().count() == 1, message);
    }

    private static ObjectNode stateTable(JsonNode file) {
        return (ObjectNode) file.path("deployment").path("state");
    }

    private static JsonNode settingsFile() {
        return TestSettings.node("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "");
    }

    @Test
    void lowestLimitsCombineThePresentAndTheAnnouncedOnes() throws Exception {
        JsonNode file = settingsFile();
        assertEquals(Settings.parse(file).state(), Settings.parse(file).state().lowest());
        stateTable(file)
                .putObject("next")
                .put("value_kb", 2.0)
                .put("txn_ops", 20)
                .put("new_thing", "ignored");
        Settings.State lowest = Settings.parse(file).state().lowest();
        assertEquals(2048, lowest.valueBytes());
        assertEquals(16, lowest.txnOps(), "a limit that rises is not counted on");
        assertEquals(150, lowest.writeRps(), "what is not named stays");
    }

    @ParameterizedTest
    @CsvSource({
        "value_kb, 0",
        "value_kb, -2",
        "value_kb, 0.1",
        "value_kb, text",
        "txn_ops, 0",
        "txn_ops, 1",
        "txn_ops, text",
        "write_rps, 0",
        "write_rps, text",
        "rps, -1"
    })
    void invalidAnnouncedLimitsAreRejectedWithTheField(String field, String value) {
        JsonNode file = settingsFile();
        ObjectNode next = stateTable(file).putObject("next");
        if (value.equals("text")) {
            next.put(field, value);
        } else {
            next.put(field, Double.parseDouble(value));
        }
        String message = assertThrows(MalformedMessageException.class, () -> Settings.parse(file))
                .getMessage();
        assertTrue(message.contains("deployment.state.next." + field), message);
    }

    @Test
    void announcedLimitsThatAreNotATableAreRejected() {
        JsonNode file = settingsFile();
        stateTable(file).put("next", 7);
        String message = assertThrows(MalformedMessageException.class, () -> Settings.parse(file))
                .getMessage();
        assertTrue(message.contains("deployment.state.next"), message);
    }
}
