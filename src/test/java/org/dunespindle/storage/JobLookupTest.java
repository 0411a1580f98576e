package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.sim.VirtualTime;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Only an answer of the state store proves that a job was never accepted; everything else is reported as unknown. */
class JobLookupTest {
    private static final String ID = "wk-000001";
    private static final long REVISION = 50;
    private static final String DONE = "{'at':1,'end':'DONE','next':3}";

    private final VirtualTime time = new VirtualTime(1);
    private final List<String> keyReads = new ArrayList<>();
    /** How the store answers the read of a key; empty: not at all. */
    private Optional<HttpClientResponse> keyAnswer = Optional.of(response(200, keyed(DONE)));

    private StateReplica replica;

    private static ObjectNode json(String text) {
        try {
            return (ObjectNode) new ObjectMapper().readTree(text.replace('\'', '"'));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ObjectNode keyed(String value) {
        ObjectNode body = MessagePackCodec.map().put("key", Keys.job(ID)).put("stamp", 7);
        body.set("v", json(value));
        return body;
    }

    private static HttpClientResponse response(int status, JsonNode body) {
        return new HttpClientResponse(status, MessagePackCodec.write(body));
    }

    /** Loads a replica from a store with one ended job, whose record is not retained. */
    @BeforeEach
    void load() throws MalformedMessageException {
        HttpClient httpClient = (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            time.after(20, () -> {
                answer(target).ifPresent(result::complete);
            });
            time.after(timeout, () -> result.completeExceptionally(new HttpCallException("no answer in time", true)));
            return result;
        };
        var process = time.new SimulatedProcess();
        var settings = Settings.parse(TestSettings.node("n0", "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", ""));
        var stateStore = new StateStoreClient(httpClient, settings, process);
        replica = new StateReplica(stateStore, process, Duration.ofMillis(300), () -> {});
        replica.start();
        time.run(Duration.ofSeconds(2));
        assertTrue(replica.isLoaded() && replica.retainedJob(ID).isEmpty());
    }

    private Optional<HttpClientResponse> answer(String target) {
        ObjectNode body = MessagePackCodec.map().put("epoch", REVISION);
        if (target.startsWith("/watch")) {
            body.putArray("log");
            return Optional.of(response(200, body));
        }
        if (target.startsWith("/keys/")) {
            keyReads.add(target);
            return keyAnswer;
        }
        body.putArray("rows").add(keyed(DONE));
        return Optional.of(response(200, body.put("more", false)));
    }

    private JobLookupResult find(String id) {
        var result = new CompletableFuture<JobLookupResult>();
        replica.findJob(id, result::complete);
        time.run(time.now().plusSeconds(5));
        return result.join();
    }

    @Test
    void anEndedJobIsReadOnce() {
        JobLookupResult result = find(ID);
        assertEquals(3, result.job().orElseThrow().doneCount());
        assertEquals(result, find(ID));
        assertEquals(List.of("/keys/" + Keys.job(ID)), keyReads);
    }

    @Test
    void anIdThatWasNeverStoredIsNotReadAtAll() {
        assertInstanceOf(JobLookupResult.NeverAccepted.class, find("wk-000002"));
        assertInstanceOf(JobLookupResult.NeverAccepted.class, find("no job's id"));
        assertEquals(List.of(), keyReads);
    }

    @Test
    void aMissingKeyIsProofAtARevisionThatIsNotOlderThanTheReplica() {
        keyAnswer = Optional.of(response(404, MessagePackCodec.map().put("epoch", REVISION)));
        assertInstanceOf(JobLookupResult.NeverAccepted.class, find(ID));
        keyAnswer = Optional.of(response(404, MessagePackCodec.map().put("epoch", REVISION - 1)));
        assertInstanceOf(JobLookupResult.Unavailable.class, find(ID));
        keyAnswer = Optional.of(response(404, MessagePackCodec.map()));
        assertInstanceOf(JobLookupResult.Unavailable.class, find(ID));
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 429, 500, 503, 504})
    void aFailedReadProvesNothing(int status) {
        keyAnswer = Optional.of(response(status, MessagePackCodec.map()));
        assertInstanceOf(JobLookupResult.Unavailable.class, find(ID));
    }

    @Test
    void noAnswerOrAnUnreadableOneProvesNothing() {
        keyAnswer = Optional.empty();
        assertInstanceOf(JobLookupResult.Unavailable.class, find(ID));
        keyAnswer = Optional.of(new HttpClientResponse(200, new byte[] {(byte) 0xc1}));
        assertInstanceOf(JobLookupResult.Unavailable.class, find(ID));
        keyAnswer = Optional.of(response(200, keyed("{'at':1,'end':'WHATEVER'}")));
        assertInstanceOf(JobLookupResult.Unavailable.class, find(ID));
        assertEquals(2, replica.statistics().failedReads());
    }

    @Test
    void oneReadServesAllWhoLookForTheSameJob() {
        var results = new ArrayList<JobLookupResult>();
        for (int i = 0; i < 500; i++) {
            replica.findJob(ID, results::add);
        }
        time.run(time.now().plusSeconds(3));
        assertEquals(500, results.size());
        assertTrue(results.stream().allMatch(result -> result.job().isPresent()));
        assertEquals(1, keyReads.size());
    }
}
