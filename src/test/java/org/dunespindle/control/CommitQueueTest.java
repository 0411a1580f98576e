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

/** Conflicting and rejected proposals. A failed transaction uses up write rate for all of its changes, so few may fail with a stale one. */
class CommitQueueTest {
    private final VirtualTime virtualTime = new VirtualTime(1);
    private final List<Integer> conflictingBatchSizes = new ArrayList<>();
    private final Map<String, Integer> singleRefusalsByKey = new HashMap<>();
    private long revision = 10;

    private HttpClientResponse answer(String target, byte[] body) throws MalformedMessageException {
        if (!target.equals("/txn")) {
            ObjectNode response = MessagePackCodec.map().put("epoch", revision).put("more", false);
            response.putArray("rows");
            response.putArray("log");
            return new HttpClientResponse(200, MessagePackCodec.write(response));
        }
        JsonNode transaction = MessagePackCodec.read(body);
        for (JsonNode change : transaction.path("apply")) {
            if (change.path("write").asText().contains("refused")) {
                if (transaction.path("apply").size() == 1) {
                    singleRefusalsByKey.merge(change.path("write").asText(), 1, Integer::sum);
                }
                return new HttpClientResponse(
                        400, MessagePackCodec.write(MessagePackCodec.map().put("error", "too large")));
            }
        }
        ObjectNode response = MessagePackCodec.map().put("epoch", ++revision);
        var stale = response.putArray("failed");
        transaction.path("guards").forEach(guard -> {
            if (guard.path("key").asText().contains("stale")) {
                stale.add(guard.path("key").asText());
            }
        });
        if (!stale.isEmpty()) {
            conflictingBatchSizes.add(transaction.path("apply").size());
        }
        return new HttpClientResponse(stale.isEmpty() ? 200 : 409, MessagePackCodec.write(response));
    }

    private CommitQueue newCommitQueue() throws MalformedMessageException {
        var process = virtualTime.new SimulatedProcess();
        HttpClient httpClient = (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            virtualTime.after(10, () -> {
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
        virtualTime.run(Duration.ofSeconds(1));
        return new CommitQueue(stateStore, replica, process, 16, () -> {});
    }

    @Test
    void staleProposalsFailFewOthers() throws MalformedMessageException {
        CommitQueue commitQueue = newCommitQueue();
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
        virtualTime.run(Duration.ofSeconds(10));
        assertEquals(60, results.size());
        results.forEach((key, result) -> assertEquals(
                key.contains("stale") ? TransactionResult.Conflict.class : TransactionResult.Applied.class,
                result.getClass(),
                key));
        assertEquals(
                conflictingBatchSizes.stream().mapToInt(Integer::intValue).sum(), commitQueue.conflictedChangeCount());
        assertTrue(
                commitQueue.conflictedChangeCount() <= 24,
                commitQueue.conflictedChangeCount()
                        + " changes were sent in conflicting transactions because of 6 stale proposals: "
                        + conflictingBatchSizes);
    }

    /** If the service rejects a proposal for its content, the others of its batch are stored, and it is sent alone only once. */
    @Test
    void aRefusedProposalFailsNoOtherAndIsNotRetried() throws MalformedMessageException {
        CommitQueue commitQueue = newCommitQueue();
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
        virtualTime.run(Duration.ofSeconds(10));
        results.forEach((key, result) -> assertEquals(
                key.contains("refused") ? TransactionResult.Refused.class : TransactionResult.Applied.class,
                result.getClass(),
                key));
        assertEquals(30, results.size());
        assertTrue(
                singleRefusalsByKey.values().stream().allMatch(count -> count == 1),
                "refused proposals sent alone, by key: " + singleRefusalsByKey);
    }
}
