package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.sim.VirtualTime;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** A stub of the state service for tests of stored formats: serves given records, applies every transaction and keeps the written values. */
public final class StateServiceStub implements HttpClient {
    /** The revision of the initial records. */
    static final long REVISION = 5;

    private static final String SEED = """
            [[seeds]]
            node_name = "n1"
            area = "east"
            address = "peer:1"
            """;

    /** The written values as JSON text, by key. */
    final Map<String, String> written = new LinkedHashMap<>();

    public final VirtualTime virtualTime = new VirtualTime(1);
    public final VirtualTime.SimulatedProcess process = virtualTime.new SimulatedProcess();
    public final Settings settings;
    final StateStoreClient client;
    public final StateReplica replica;
    private final Map<String, String> stored;
    private final List<ObjectNode> changeLog = new ArrayList<>();
    private long revision = REVISION;

    /** Starts a service with the given records (JSON text by key), and a replica of it. */
    public StateServiceStub(Map<String, String> stored) throws MalformedMessageException {
        this.stored = stored;
        settings = Settings.parse(TestSettings.node("n0", "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", SEED));
        client = new StateStoreClient(this, settings, process);
        replica = new StateReplica(client, process, Duration.ofMillis(300), () -> {});
        replica.start();
        virtualTime.run(Duration.ofSeconds(2));
    }

    static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public CompletableFuture<HttpClientResponse> send(
            String address, String method, String target, byte[] body, String type, Duration timeout) {
        var result = new CompletableFuture<HttpClientResponse>();
        virtualTime.after(
                5, () -> result.complete(new HttpClientResponse(200, MessagePackCodec.write(answer(target, body)))));
        return result;
    }

    private ObjectNode answer(String target, byte[] body) {
        if (target.startsWith("/holds")) {
            return MessagePackCodec.map().put("tether", 7);
        }
        if (target.equals("/txn")) {
            apply(body);
        }
        ObjectNode answer = MessagePackCodec.map().put("epoch", revision);
        if (target.startsWith("/watch")) {
            changeLog.forEach(answer.putArray("log")::add);
        } else if (target.startsWith("/keys")) {
            var rows = answer.put("more", false).putArray("rows");
            stored.forEach((key, text) ->
                    rows.addObject().put("key", key).put("stamp", REVISION).set("v", json(text)));
        }
        return answer;
    }

    private void apply(byte[] body) {
        try {
            revision++;
            for (JsonNode change : MessagePackCodec.read(body).path("apply")) {
                written.put(change.path("write").asText(), change.path("v").toString());
                changeLog.add(((ObjectNode) change.deepCopy()).put("stamp", revision));
            }
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
