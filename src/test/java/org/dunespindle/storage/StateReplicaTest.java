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

/** A replica that cannot apply the change log must load a snapshot, instead of requesting the same log indefinitely. */
class StateReplicaTest {
    private static final int ROWS = 40;
    private static final int ROWS_PER_PAGE = 10;

    private enum LogFailure {
        TOO_LONG,
        UNANSWERED,
        MALFORMED,
        COMPACTED,
        REFUSED
    }

    private final VirtualTime time = new VirtualTime(1);
    private final List<String> requests = new ArrayList<>();
    private long revision = 100;
    /** The log is available only from this revision on. */
    private long firstLogRevision;

    private LogFailure logFailure = LogFailure.COMPACTED;
    private int pagesToFail;
    private boolean outage;

    private StateReplica replica() throws MalformedMessageException {
        var process = time.new SimulatedProcess();
        HttpClient httpClient = (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            requests.add(target);
            time.after(20, () -> answer(target, result));
            time.after(timeout, () -> result.completeExceptionally(new HttpCallException("no answer in time", true)));
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
        if (outage) {
            result.complete(new HttpClientResponse(503, MessagePackCodec.write(MessagePackCodec.map())));
        } else if (target.startsWith("/watch")) {
            long since = Long.parseLong(target.replaceAll(".*since=(\\d+).*", "$1"));
            if (since >= firstLogRevision) {
                ObjectNode node = MessagePackCodec.map().put("epoch", revision);
                node.putArray("log");
                result.complete(new HttpClientResponse(200, MessagePackCodec.write(node)));
                return;
            }
            switch (logFailure) {
                case TOO_LONG -> result.completeExceptionally(new ResponseTooLongException());
                case UNANSWERED -> {}
                case MALFORMED -> result.complete(new HttpClientResponse(200, new byte[] {(byte) 0xc1}));
                case COMPACTED ->
                    result.complete(new HttpClientResponse(410, MessagePackCodec.write(MessagePackCodec.map())));
                default -> result.complete(new HttpClientResponse(503, MessagePackCodec.write(MessagePackCodec.map())));
            }
        } else if (pagesToFail > 0) {
            pagesToFail--;
            result.complete(new HttpClientResponse(503, MessagePackCodec.write(MessagePackCodec.map())));
        } else {
            String since = target.contains("since=") ? target.replaceAll(".*since=([^&]+).*", "$1") : "";
            ObjectNode node = MessagePackCodec.map().put("epoch", revision);
            var rows = node.putArray("rows");
            int from = since.isEmpty() ? 0 : Integer.parseInt(since.substring(since.lastIndexOf('/') + 1)) + 1;
            for (int i = from; i < Math.min(ROWS, from + ROWS_PER_PAGE); i++) {
                rows.addObject()
                        .put("key", "ds/x/%03d".formatted(i))
                        .put("stamp", revision)
                        .set("v", MessagePackCodec.map().put("at", revision));
            }
            revision++; // other clients write while pages are read
            result.complete(
                    new HttpClientResponse(200, MessagePackCodec.write(node.put("more", from + ROWS_PER_PAGE < ROWS))));
        }
    }

    @ParameterizedTest
    @EnumSource(value = LogFailure.class, names = "REFUSED", mode = EnumSource.Mode.EXCLUDE)
    void anUnavailableLogIsReplacedByASnapshot(LogFailure kind) throws MalformedMessageException {
        StateReplica replica = replica();
        time.run(Duration.ofSeconds(3));
        assertTrue(replica.isLoaded());
        logFailure = kind;
        revision = 50_000;
        firstLogRevision = 49_000;
        time.run(Duration.ofSeconds(20));
        assertTrue(replica.staleness().compareTo(Duration.ofSeconds(1)) < 0, "staleness " + replica.staleness());
        assertTrue(replica.value("ds/x/039").orElseThrow().path("at").asLong() >= 50_000, "the replica is stale");
    }

    @Test
    void aFailedPageIsRetriedWithoutReadingThePreviousOnesAgain() throws MalformedMessageException {
        StateReplica replica = replica();
        time.run(Duration.ofSeconds(3));
        revision = 50_000;
        firstLogRevision = 49_000;
        time.run(Duration.ofMillis(3400));
        requests.clear();
        pagesToFail = 6;
        time.run(Duration.ofSeconds(12));
        assertTrue(replica.staleness().compareTo(Duration.ofSeconds(1)) < 0, "staleness " + replica.staleness());
        long firstPageReads = requests.stream()
                .filter(t -> t.startsWith("/keys") && !t.contains("since="))
                .count();
        long successfulReads =
                requests.stream().filter(t -> t.startsWith("/keys")).count() - 6;
        assertEquals(
                ROWS / ROWS_PER_PAGE,
                successfulReads,
                "pages read more than once; the first one " + firstPageReads + " times: " + requests);
    }

    @Test
    void afterAnOutageTheLogIsFollowedAgainWithoutASnapshot() throws MalformedMessageException {
        StateReplica replica = replica();
        time.run(Duration.ofSeconds(3));
        outage = true;
        time.run(Duration.ofSeconds(20));
        assertTrue(replica.isLoaded() && replica.value("ds/x/005").isPresent());
        outage = false;
        requests.clear();
        time.run(Duration.ofSeconds(24));
        assertTrue(replica.staleness().compareTo(Duration.ofSeconds(1)) < 0);
        assertTrue(
                requests.stream().noneMatch(t -> t.startsWith("/keys")),
                "a snapshot was loaded although the log was available after the outage");
    }
}
