package org.dunespindle.federation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of the messages between cells, and rejection of malformed ones. */
class CellMessageCodecTest {
    private static CellId cell(Random random, String name) {
        return new CellId(
                name,
                Long.toHexString(random.nextLong()),
                random.nextInt(1 << 30),
                Long.toHexString(random.nextLong()));
    }

    private static Transfer transfer(Random random) {
        return new Transfer("wk-%06d".formatted(random.nextInt(1_000_000)), random.nextLong() >>> 1);
    }

    private static CellRequest request(Random random) {
        CellId from = cell(random, "a");
        Transfer transfer = transfer(random);
        return switch (random.nextInt(5)) {
            case 0 -> new CellRequest.Hello(from, random.nextLong() >>> 1);
            case 1 ->
                new CellRequest.Offer(
                        from,
                        cell(random, "b"),
                        transfer,
                        Instant.ofEpochMilli(random.nextLong() >>> 20),
                        TestJobs.array(transfer.job(), 1 + random.nextInt(1000)));
            case 2 -> new CellRequest.Recall(from, "id", transfer);
            case 3 -> new CellRequest.Cancel(from, "id", transfer);
            default -> new CellRequest.Progress(from, "id", List.of(transfer, transfer(random)));
        };
    }

    private static CellReply reply(Random random) {
        return switch (random.nextInt(4)) {
            case 0 ->
                new CellReply.Greeting(
                        cell(random, "b"),
                        random.nextBoolean(),
                        random.nextBoolean() ? Optional.empty() : Optional.of("spindle-1"),
                        random.nextBoolean() ? Optional.empty() : Optional.of(hints(random)));
            case 1 -> new CellReply.Reports(reports(random));
            case 2 -> {
                Rejection.Reason reason = Rejection.Reason.values()[random.nextInt(Rejection.Reason.values().length)];
                yield new CellReply.Declined(
                        transfer(random), new Rejection(reason, Duration.ofMillis(random.nextInt(100_000))));
            }
            default ->
                new CellReply.NotServed(
                        CellReply.Reason.values()[random.nextInt(CellReply.Reason.values().length)],
                        random.nextBoolean() ? Optional.empty() : Optional.of("spindle-2"));
        };
    }

    private static List<CapacityHint> hints(Random random) {
        var hints = new ArrayList<CapacityHint>();
        for (int i = random.nextInt(5); i > 0; i--) {
            hints.add(new CapacityHint(
                    "type" + i,
                    "zone",
                    random.nextBoolean(),
                    Priority.values()[random.nextInt(4)],
                    new Resources(random.nextDouble() * 100, random.nextInt(9), 2.5),
                    new Resources(1, 2, 3),
                    random.nextBoolean()));
        }
        return hints;
    }

    private static List<InboundJobStatus> reports(Random random) {
        var reports = new ArrayList<InboundJobStatus>();
        for (int i = random.nextInt(5); i > 0; i--) {
            reports.add(new InboundJobStatus(
                    transfer(random),
                    InboundJobState.values()[random.nextInt(InboundJobState.values().length)],
                    random.nextInt(100),
                    random.nextInt(100),
                    random.nextInt(3),
                    random.nextBoolean() ? Optional.empty() : Optional.of("no room \u00e9")));
        }
        return reports;
    }

    @Property(seed = "41", tries = 500)
    void messagesRoundTrip(@ForAll long seed) throws MalformedMessageException {
        var random = new Random(seed);
        CellRequest request = request(random);
        assertEquals(request, CellMessageCodec.readRequest(CellMessageCodec.write(request)));
        CellReply reply = reply(random);
        assertEquals(reply, CellMessageCodec.readReply(CellMessageCodec.write(reply)));
    }

    @Property(seed = "42", tries = 1000)
    void truncatedOrCorruptedMessagesCauseNoOtherException(@ForAll long seed) {
        var random = new Random(seed);
        byte[] body = CellMessageCodec.write(request(random));
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        byte[] cut = java.util.Arrays.copyOf(body, random.nextInt(body.length));
        assertThrows(MalformedMessageException.class, () -> CellMessageCodec.readRequest(cut));
        try {
            CellMessageCodec.readRequest(body);
        } catch (MalformedMessageException e) {
            assertTrue(!e.getMessage().isEmpty() && e.getMessage().length() < 200, e.getMessage());
        }
    }

    private static void assertMalformed(String text, String message) {
        var failure = assertThrows(
                MalformedMessageException.class,
                () -> CellMessageCodec.readRequest(text.getBytes(StandardCharsets.UTF_8)));
        assertTrue(failure.getMessage().contains(message), failure.getMessage());
    }

    @Test
    void errorMessagesNameTheField() {
        String from = "\"from\":{\"name\":\"a\",\"identity\":\"i\",\"incarnation\":1,\"mark\":\"m\"}";
        assertMalformed("[]", "not a JSON object");
        assertMalformed("{", "not JSON");
        assertMalformed("{}", "name must be text");
        assertMalformed("{" + from + "}", "kind must be text");
        assertMalformed("{" + from + ",\"kind\":\"party\"}", "kind is unknown");
        assertMalformed("{" + from + ",\"kind\":\"hello\",\"floor\":-1}", "floor must be a whole number");
        assertMalformed(
                "{" + from + ",\"kind\":\"recall\",\"to\":\"x\",\"job\":\"../etc\",\"number\":1}",
                "job must look like");
        assertMalformed("{" + from + ",\"kind\":\"offer\",\"to\":{},\"job\":\"wk-000001\",\"number\":1}", "not a map");
        String list = "[" + "{},".repeat(CellMessageCodec.MAX_TRANSFERS) + "{}]";
        assertMalformed(
                "{" + from + ",\"kind\":\"progress\",\"to\":\"x\",\"transfers\":" + list + "}", "list of at most");
    }
}
