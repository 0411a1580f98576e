package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service, called within this controller's share of its rates. */
public final class StateStoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateStoreClient.class);
    private static final Duration TIMEOUT = Duration.ofMillis(1800);
    /** Controllers' clocks differ a little, so their shares leave some of the rate unused. */
    private static final double SAFE_PART = 0.9;

    private final RateLimitedHttpClient service;
    private final RateLimiter writes;
    private int failuresInARow;

    /** Creates a client for the state service that the settings name. */
    public StateStoreClient(HttpClient httpClient, Settings settings, TimeSource timeSource) {
        Settings.State limits = settings.state().lowest();
        int sharers = settings.seeds().size() + 1;
        double requestShare = SAFE_PART * limits.rps() / sharers;
        double writeShare = SAFE_PART * limits.writeRps() / sharers;
        this.service = new RateLimitedHttpClient(
                httpClient, settings.stateAddress(), timeSource, new RateLimiter(timeSource, requestShare), TIMEOUT);
        this.writes = new RateLimiter(timeSource, writeShare);
    }

    /** What this controller may write; changes are paid for as they are committed. */
    public RateLimiter writes() {
        return writes;
    }

    /** Whether the last requests went unserved; tells when to refuse at once instead of trying. */
    public boolean failing() {
        return failuresInARow >= 2;
    }

    /** How long calls took, in microseconds. */
    public Histogram latency() {
        return service.latency();
    }

    /** A page of keys; fails unless it was answered with 200. */
    public CompletableFuture<StateMessages.Entries> list(String under, String since, int limit) {
        return ok(call(
                        false,
                        "GET",
                        "/keys?under=" + under + (since.isEmpty() ? "" : "&since=" + since) + "&limit=" + limit,
                        new byte[0]))
                .thenApply(StateMessages::page);
    }

    /** All changes after a revision, without waiting for any; status 410 when it is too old. */
    public CompletableFuture<HttpClientResponse> changes(String under, long since) {
        return call(false, "GET", "/watch?under=" + under + "&since=" + since + "&holdMs=0", new byte[0]);
    }

    /** A new lease, as the service's number for it. */
    public CompletableFuture<OptionalLong> openLease(Duration ttl) {
        return ok(call(true, "POST", "/holds", MessagePackCodec.write(StateMessages.lease(ttl))))
                .thenApply(StateMessages::leaseId);
    }

    /** Renews; false when the lease has ended. */
    public CompletableFuture<Boolean> renewLease(long lease) {
        return call(true, "POST", "/holds/" + lease + "/renew", MessagePackCodec.write(MessagePackCodec.map()))
                .thenCompose(response -> switch (response.status()) {
                    case 200 -> CompletableFuture.completedFuture(true);
                    case 404 -> CompletableFuture.completedFuture(false);
                    default ->
                        CompletableFuture.failedFuture(new HttpCallException("status " + response.status(), true));
                });
    }

    /** Ends a lease and removes what is attached to it. */
    public void endLease(long lease) {
        call(true, "DELETE", "/holds/" + lease, new byte[0]);
    }

    /** Commits a transaction at once and charges its changes; whoever has many paces them. Never fails, see the result. */
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        var result = new CompletableFuture<TransactionResult>();
        writes.charge(transaction.changeCount());
        call(false, "POST", "/txn", MessagePackCodec.write(transaction.toNode()))
                .whenComplete((response, e) -> result.complete(judge(response, e)));
        return result;
    }

    private static TransactionResult judge(HttpClientResponse response, Throwable failure) {
        if (failure != null) {
            return sent(failure) ? new TransactionResult.Unknown() : new TransactionResult.Refused(0, "no connection");
        }
        return switch (response.status()) {
            case 200 -> {
                try {
                    yield new TransactionResult.Applied(StateMessages.revision(response.body()));
                } catch (MalformedMessageException e) {
                    yield new TransactionResult.Unknown();
                }
            }
            case 409 -> new TransactionResult.Conflict(failedKeys(response));
            case 400, 413, 429, 503 ->
                new TransactionResult.Refused(
                        response.status(), new String(response.body(), java.nio.charset.StandardCharsets.ISO_8859_1));
            default -> new TransactionResult.Unknown();
        };
    }

    private static Set<String> failedKeys(HttpClientResponse response) {
        try {
            return StateMessages.failedKeys(response.body());
        } catch (MalformedMessageException e) {
            LOG.debug("a conflict without a readable reason");
            return Set.of();
        }
    }

    private static boolean sent(Throwable failure) {
        Throwable cause = HttpCallException.cause(failure);
        return !(cause instanceof HttpCallException f) || f.sent();
    }

    private static CompletableFuture<JsonNode> ok(CompletableFuture<HttpClientResponse> answer) {
        return answer.thenCompose(response -> {
            if (response.status() != 200) {
                return CompletableFuture.failedFuture(new HttpCallException("status " + response.status(), true));
            }
            try {
                return CompletableFuture.completedFuture(MessagePackCodec.read(response.body()));
            } catch (MalformedMessageException e) {
                return CompletableFuture.failedFuture(new HttpCallException("unreadable answer", true));
            }
        });
    }

    private CompletableFuture<HttpClientResponse> call(boolean first, String method, String target, byte[] body) {
        return service.call(first, method, target, body).whenComplete((response, e) -> {
            // A refusal for the rate alone says that the service is there.
            boolean served = response != null && response.status() != 503;
            failuresInARow = served ? 0 : failuresInARow + 1;
        });
    }
}
