package org.dunespindle.federation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.junit.jupiter.api.Test;

/**
 * The exact encoding of the messages between cells and of the stored records of cells. Other cells may run other versions, so neither
 * encoding may change with the names in the sources.
 */
class CellMessagesCompatibilityTest {
    private static final CellId A = new CellId("a", "id-a", 4, "mark-a");
    private static final CellId B = new CellId("b", "id-b", 5, "mark-b");
    private static final Transfer TRANSFER = new Transfer("wk-000412", 12);
    private static final String FROM =
            "{\"from\":{\"name\":\"a\",\"identity\":\"id-a\",\"incarnation\":4,\"mark\":\"mark-a\"},";
    private static final String SELF =
            "\"self\":{\"name\":\"b\",\"identity\":\"id-b\",\"incarnation\":5,\"mark\":\"mark-b\"}";

    private static void assertSent(String text, CellRequest request) throws MalformedMessageException {
        assertEquals(text, new String(CellMessageCodec.write(request), StandardCharsets.UTF_8));
        assertEquals(request, CellMessageCodec.readRequest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static void assertSent(String text, CellReply reply) throws MalformedMessageException {
        assertEquals(text, new String(CellMessageCodec.write(reply), StandardCharsets.UTF_8));
        assertEquals(reply, CellMessageCodec.readReply(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void requests() throws MalformedMessageException {
        assertSent(FROM + "\"kind\":\"hello\",\"floor\":9}", new CellRequest.Hello(A, 9));
        String transfer = "\"to\":\"id-b\",\"job\":\"wk-000412\",\"number\":12}";
        assertSent(FROM + "\"kind\":\"recall\"," + transfer, new CellRequest.Recall(A, "id-b", TRANSFER));
        assertSent(FROM + "\"kind\":\"cancel\"," + transfer, new CellRequest.Cancel(A, "id-b", TRANSFER));
        assertSent(
                FROM + "\"kind\":\"progress\",\"to\":\"id-b\",\"transfers\":["
                        + "{\"job\":\"wk-000412\",\"number\":12},{\"job\":\"wk-000413\",\"number\":13}]}",
                new CellRequest.Progress(A, "id-b", List.of(TRANSFER, new Transfer("wk-000413", 13))));
    }

    @Test
    void offers() throws MalformedMessageException {
        assertSent(
                FROM + "\"kind\":\"offer\",\"arrived\":1700000000123,"
                        + "\"to\":{\"name\":\"b\",\"identity\":\"id-b\",\"incarnation\":5,\"mark\":\"mark-b\"},"
                        + "\"job\":\"wk-000412\",\"number\":12,"
                        + "\"submission\":{\"id\":\"wk-000412\",\"jobclass\":\"class\",\"owner\":\"red\",\"shape\":\"array\","
                        + "\"rank\":\"normal\",\"pieces\":3,\"vcpus\":1.0,\"accelerators\":1.0,\"ramGb\":1.0,"
                        + "\"samePlace\":false,\"apart\":false,\"driftwood\":false,\"bundle\":\"image\",\"imageGb\":1.0,"
                        + "\"guessS\":20.0,\"snapshotS\":0.0,\"flushS\":0.0}}",
                new CellRequest.Offer(
                        A, B, TRANSFER, Instant.ofEpochMilli(1_700_000_000_123L), TestJobs.array("wk-000412", 3)));
    }

    @Test
    void greetings() throws MalformedMessageException {
        assertSent(
                "{\"kind\":\"greeting\",\"leads\":false," + SELF + "}",
                new CellReply.Greeting(B, false, Optional.empty(), Optional.empty()));
        var priorities = new EnumMap<>(Map.of(
                Priority.LOW, "LOW",
                Priority.NORMAL, "NORMAL",
                Priority.URGENT, "URGENT",
                Priority.CRITICAL, "CRITICAL"));
        assertEquals(Set.of(Priority.values()), priorities.keySet());
        for (Map.Entry<Priority, String> priority : priorities.entrySet()) {
            var hint = new CapacityHint(
                    "gpu-8",
                    "east",
                    true,
                    priority.getKey(),
                    new Resources(8, 4, 32.5),
                    new Resources(4, 2, 16),
                    false);
            assertSent(
                    "{\"kind\":\"greeting\",\"leads\":true," + SELF + ",\"leader\":\"n1\",\"room\":["
                            + "{\"type\":\"gpu-8\",\"zone\":\"east\",\"spot\":true,\"priority\":\""
                            + priority.getValue()
                            + "\",\"rentable\":false,\"free\":[8.0,4.0,32.5],\"largest\":[4.0,2.0,16.0]}]}",
                    new CellReply.Greeting(B, true, Optional.of("n1"), Optional.of(List.of(hint))));
        }
    }

    @Test
    void reportsOfEveryState() throws MalformedMessageException {
        var states = new EnumMap<>(Map.of(
                InboundJobState.UNKNOWN, "UNKNOWN",
                InboundJobState.QUEUED, "QUEUED",
                InboundJobState.BEGUN, "BEGUN",
                InboundJobState.DONE, "DONE",
                InboundJobState.CANCELLED, "CANCELLED",
                InboundJobState.WITHDRAWN, "WITHDRAWN",
                InboundJobState.CLOSED, "CLOSED"));
        assertEquals(Set.of(InboundJobState.values()), states.keySet());
        for (Map.Entry<InboundJobState, String> state : states.entrySet()) {
            String head = "{\"kind\":\"reports\",\"reports\":[{\"job\":\"wk-000412\",\"number\":12,\"state\":\""
                    + state.getValue() + "\",\"done\":3,\"running\":2,\"failures\":1";
            assertSent(head + "}]}", reports(state.getKey(), Optional.empty()));
            assertSent(head + ",\"waits\":\"no room\"}]}", reports(state.getKey(), Optional.of("no room")));
        }
    }

    private static CellReply reports(InboundJobState state, Optional<String> waits) {
        return new CellReply.Reports(List.of(new InboundJobStatus(TRANSFER, state, 3, 2, 1, waits)));
    }

    @Test
    void rejectionsForEveryReason() throws MalformedMessageException {
        var reasons = new EnumMap<>(Map.of(
                Rejection.Reason.NO_ROOM, "NO_ROOM",
                Rejection.Reason.NEVER_FITS, "NEVER_FITS",
                Rejection.Reason.TOO_MANY_VISITORS, "TOO_MANY_VISITORS",
                Rejection.Reason.GIVES_AWAY, "GIVES_AWAY",
                Rejection.Reason.ID_TAKEN, "ID_TAKEN"));
        assertEquals(Set.of(Rejection.Reason.values()), reasons.keySet());
        for (Map.Entry<Rejection.Reason, String> reason : reasons.entrySet()) {
            assertSent(
                    "{\"kind\":\"declined\",\"job\":\"wk-000412\",\"number\":12,\"reason\":\"" + reason.getValue()
                            + "\",\"retryAfterMs\":20500}",
                    new CellReply.Declined(TRANSFER, new Rejection(reason.getKey(), Duration.ofMillis(20_500))));
        }
    }

    @Test
    void requestsNotServedForEveryReason() throws MalformedMessageException {
        var reasons = new EnumMap<>(Map.of(
                CellReply.Reason.NOT_READY, "NOT_READY",
                CellReply.Reason.STATE_UNAVAILABLE, "STATE_UNAVAILABLE",
                CellReply.Reason.NOT_LEADER, "NOT_LEADER",
                CellReply.Reason.STRANGER, "STRANGER",
                CellReply.Reason.WRONG_IDENTITY, "WRONG_IDENTITY",
                CellReply.Reason.STALE, "STALE",
                CellReply.Reason.FLOOR_WENT_BACK, "FLOOR_WENT_BACK",
                CellReply.Reason.ENDED_JOBS_RUN, "ENDED_JOBS_RUN",
                CellReply.Reason.ABANDONED, "ABANDONED",
                CellReply.Reason.ID_IN_USE, "ID_IN_USE"));
        assertEquals(Set.of(CellReply.Reason.values()), reasons.keySet());
        for (Map.Entry<CellReply.Reason, String> reason : reasons.entrySet()) {
            String head = "{\"kind\":\"not-served\",\"reason\":\"" + reason.getValue() + "\"";
            assertSent(head + "}", CellReply.NotServed.of(reason.getKey()));
            assertSent(head + ",\"leader\":\"n1\"}", new CellReply.NotServed(reason.getKey(), Optional.of("n1")));
        }
    }

    /** The values of {@code ds/federation} and {@code ds/cell/}. */
    @Test
    void storedCells() throws MalformedMessageException, IOException {
        String id = "{\"name\":\"a\",\"identity\":\"id-a\",\"incarnation\":4,\"mark\":\"mark-a\"";
        var own = new FederationRecords.OwnCell(A, 77);
        assertEquals(id + ",\"leader\":77}", FederationRecords.write(own).toString());
        assertEquals(own, FederationRecords.parseOwnCell(json(id + ",\"leader\":77}")));
        var known = new FederationRecords.KnownCell(A, 9, false);
        assertEquals(
                id + ",\"floor\":9,\"abandoned\":false}",
                FederationRecords.write(known).toString());
        assertEquals(known, FederationRecords.parseKnownCell(json(id + ",\"floor\":9,\"abandoned\":false}")));
        assertEquals(known.abandon(), FederationRecords.parseKnownCell(json(id + ",\"floor\":9,\"abandoned\":true}")));
    }

    private static JsonNode json(String text) throws IOException {
        return new ObjectMapper().readTree(text);
    }
}
