package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.sim.VirtualTime;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.dunespindle.transport.ResponseTooLongException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A copy whose log of changes cannot be taken in: it must come back by reading pages, and never ask for the same log for ever. */
class ReplicaTest {
    private static final int ROWS = 40;
    private static final int PER_PAGE = 10;

    private enum Trouble {
        TOO_LONG,
        NEVER_ARRIVES,
        UNREADABLE,
        TOO_OLD,
        REFUSED
    }

    private final VirtualTime sim = new VirtualTime(1);
    private final List<String> asked = new ArrayList<>();
    private long epoch = 100;
    /** Logs that reach back before this cannot be had. */
    private long logFrom;

    private Trouble trouble = Trouble.TOO_OLD;
    private int failPages;
    private boolean out;

    private StateReplica replica() throws MalformedMessageException {
        var process = sim.new Process();
        HttpClient httpClient = (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            asked.add(target);
            sim.after(20, () -> answer(target, result));
            sim.after(timeout, () -> result.completeExceptionally(new HttpCallException("no answer in time", true)));
            return result;
        };
        var stateStore = new StateStoreClient(
                httpClient,
                Settings.parse(TestSettings.node("n0", "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", "")),
                process);
        var replica = new StateReplica(stateStore, process, Duration.ofMillis(300), () -> {});
        replica.start();
        return replica;
    }

    private void answer(String target, CompletableFuture<HttpClientResponse> result) {
        if (out) {
            result.complete(new HttpClientResponse(503, MessagePackCodec.write(MessagePackCodec.map())));
        } else if (target.startsWith("/watch")) {
            long since = Long.parseLong(target.replaceAll(".*since=(\\d+).*", "$1"));
            if (since >= logFrom) {
                ObjectNode n = MessagePackCodec.map().put("epoch", epoch);
                n.putArray("log");
                result.complete(new HttpClientResponse(200, MessagePackCodec.write(n)));
                return;
            }
            switch (trouble) {
                case TOO_LONG -> result.completeExceptionally(new ResponseTooLongException());
                case NEVER_ARRIVES -> {}
                case UNREADABLE -> result.complete(new HttpClientResponse(200, new byte[] {(byte) 0xc1}));
                case TOO_OLD ->
                    result.complete(new HttpClientResponse(410, MessagePackCodec.write(MessagePackCodec.map())));
                default -> result.complete(new HttpClientResponse(503, MessagePackCodec.write(MessagePackCodec.map())));
            }
        } else if (failPages > 0) {
            failPages--;
            result.complete(new HttpClientResponse(503, MessagePackCodec.write(MessagePackCodec.map())));
        } else {
            String since = target.contains("since=") ? target.replaceAll(".*since=([^&]+).*", "$1") : "";
            ObjectNode n = MessagePackCodec.map().put("epoch", epoch);
            var rows = n.putArray("rows");
            int from = since.isEmpty() ? 0 : Integer.parseInt(since.substring(since.lastIndexOf('/') + 1)) + 1;
            for (int i = from; i < Math.min(ROWS, from + PER_PAGE); i++) {
                rows.addObject()
                        .put("key", "ds/x/%03d".formatted(i))
                        .put("stamp", epoch)
                        .set("v", MessagePackCodec.map().put("at", epoch));
            }
            epoch++; // others go on writing while pages are read
            result.complete(new HttpClientResponse(200, MessagePackCodec.write(n.put("more", from + PER_PAGE < ROWS))));
        }
    }

    @ParameterizedTest
    @EnumSource(value = Trouble.class, names = "REFUSED", mode = EnumSource.Mode.EXCLUDE)
    void aLogThatCannotBeTakenInIsReplacedByPages(Trouble kind) throws MalformedMessageException {
        StateReplica replica = replica();
        sim.run(Duration.ofSeconds(3));
        assertTrue(replica.loaded());
        trouble = kind;
        epoch = 50_000;
        logFrom = 49_000;
        sim.run(Duration.ofSeconds(20));
        assertTrue(replica.staleness().compareTo(Duration.ofSeconds(1)) < 0, "its view is " + replica.staleness());
        assertTrue(replica.value("ds/x/039").orElseThrow().path("at").asLong() >= 50_000, "the copy is the old one");
    }

    @Test
    void pagesThatFailAreAskedForAgainFromWhereItStopped() throws MalformedMessageException {
        StateReplica replica = replica();
        sim.run(Duration.ofSeconds(3));
        epoch = 50_000;
        logFrom = 49_000;
        sim.run(Duration.ofMillis(3400));
        asked.clear();
        failPages = 6;
        sim.run(Duration.ofSeconds(12));
        assertTrue(replica.staleness().compareTo(Duration.ofSeconds(1)) < 0, "its view is " + replica.staleness());
        long first = asked.stream()
                .filter(t -> t.startsWith("/keys") && !t.contains("since="))
                .count();
        long good = asked.stream().filter(t -> t.startsWith("/keys")).count() - 6;
        assertEquals(ROWS / PER_PAGE, good, "pages read more than once; the first one " + first + " times: " + asked);
    }

    @Test
    void anOutageKeepsTheCopyAndTheLogIsEnoughAfterwards() throws MalformedMessageException {
        StateReplica replica = replica();
        sim.run(Duration.ofSeconds(3));
        out = true;
        sim.run(Duration.ofSeconds(20));
        assertTrue(replica.loaded() && replica.value("ds/x/005").isPresent());
        out = false;
        asked.clear();
        sim.run(Duration.ofSeconds(24));
        assertTrue(replica.staleness().compareTo(Duration.ofSeconds(1)) < 0);
        assertTrue(
                asked.stream().noneMatch(t -> t.startsWith("/keys")), "everything was read again after a mere outage");
    }
}
