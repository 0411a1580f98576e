package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.junit.jupiter.api.Test;

/** Changes that others get in the way of: a transaction that fails is paid for in full. */
class CommitQueueTest {
    private final VirtualTime sim = new VirtualTime(1);
    private final List<Integer> failed = new ArrayList<>();
    private final Map<String, Integer> refusedAlone = new HashMap<>();
    private long epoch = 10;

    private HttpClientResponse answer(String target, byte[] body) throws MalformedMessageException {
        if (!target.equals("/txn")) {
            ObjectNode n = MessagePackCodec.map().put("epoch", epoch).put("more", false);
            n.putArray("rows");
            n.putArray("log");
            return new HttpClientResponse(200, MessagePackCodec.write(n));
        }
        JsonNode txn = MessagePackCodec.read(body);
        for (JsonNode change : txn.path("apply")) {
            if (change.path("write").asText().contains("refused")) {
                if (txn.path("apply").size() == 1) {
                    refusedAlone.merge(change.path("write").asText(), 1, Integer::sum);
                }
                return new HttpClientResponse(
                        400, MessagePackCodec.write(MessagePackCodec.map().put("error", "too large")));
            }
        }
        ObjectNode n = MessagePackCodec.map().put("epoch", ++epoch);
        var stale = n.putArray("failed");
        txn.path("guards").forEach(g -> {
            if (g.path("key").asText().contains("stale")) {
                stale.add(g.path("key").asText());
            }
        });
        if (!stale.isEmpty()) {
            failed.add(txn.path("apply").size());
        }
        return new HttpClientResponse(stale.isEmpty() ? 200 : 409, MessagePackCodec.write(n));
    }

    private CommitQueue committer() throws MalformedMessageException {
        var process = sim.new Process();
        HttpClient httpClient = (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            sim.after(10, () -> {
                try {
                    result.complete(answer(target, body));
                } catch (MalformedMessageException e) {
                    result.completeExceptionally(e);
                }
            });
            return result;
        };
        var stateStore = new StateStoreClient(
                httpClient,
                Settings.parse(TestSettings.node("n0", "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", "")),
                process);
        var replica = new StateReplica(stateStore, process, Duration.ofMillis(300), () -> {});
        replica.start();
        sim.run(Duration.ofSeconds(1));
        return new CommitQueue(stateStore, replica, process, 16, () -> {});
    }

    @Test
    void staleChangesSinkFewOthers() throws MalformedMessageException {
        CommitQueue commitQueue = committer();
        Map<String, TransactionResult> results = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String key = "ds/x/" + (i % 10 == 5 ? "stale" : "good") + i;
            commitQueue.propose(
                    CommitPriority.PLACEMENT,
                    new Transaction()
                            .requireRevision(key, 0)
                            .write(key, MessagePackCodec.map().put("n", i)),
                    result -> results.put(key, result));
        }
        sim.run(Duration.ofSeconds(10));
        assertEquals(60, results.size());
        results.forEach((key, result) -> assertEquals(
                key.contains("stale") ? TransactionResult.Conflict.class : TransactionResult.Applied.class,
                result.getClass(),
                key));
        assertEquals(failed.stream().mapToInt(Integer::intValue).sum(), commitQueue.conflicts());
        assertTrue(
                commitQueue.conflicts() <= 24,
                commitQueue.conflicts() + " changes were paid for in vain, for 6 stale ones: " + failed);
    }

    /** One change that the service does not take as it is: the others are stored, it is told once and not sent again. */
    @Test
    void aRefusedChangeSinksNoOtherAndIsNotRepeated() throws MalformedMessageException {
        CommitQueue commitQueue = committer();
        Map<String, TransactionResult> results = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            String key = "ds/x/" + (i % 10 == 5 ? "refused" : "good") + i;
            commitQueue.propose(
                    CommitPriority.PLACEMENT,
                    new Transaction()
                            .requireRevision(key, 0)
                            .write(key, MessagePackCodec.map().put("n", i)),
                    result -> results.put(key, result));
        }
        sim.run(Duration.ofSeconds(10));
        results.forEach((key, result) -> assertEquals(
                key.contains("refused") ? TransactionResult.Refused.class : TransactionResult.Applied.class,
                result.getClass(),
                key));
        assertEquals(30, results.size());
        assertTrue(refusedAlone.values().stream().allMatch(count -> count == 1), "sent alone " + refusedAlone);
    }
}
