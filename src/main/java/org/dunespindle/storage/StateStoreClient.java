package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
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
import org.dunespindle.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Client of the state store's HTTP API, within this controller's share of the store's rate limits. */
public final class StateStoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateStoreClient.class);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1800);
    /** The part of the rate limit that all controllers together use; the rest allows for differences between their clocks. */
    private static final double USABLE_RATE_FRACTION = 0.9;

    /** The part of this controller's requests that reads of single keys may take; leases, commits and the change log use the rest. */
    private static final double KEY_READ_FRACTION = 0.25;
    /** Reads that would wait longer are refused, since users wait two seconds for an answer. */
    private static final double MAX_KEY_READ_WAIT_SECONDS = 1.5;

    private static final int MIN_PENDING_KEY_READS = 4;
    private static final int MIN_CONSECUTIVE_FAILURES_FOR_OUTAGE = 2;
    private static final byte[] NO_BODY = new byte[0];

    private final RateLimitedHttpClient httpClient;
    private final RateLimiter writeLimiter;
    private final RateLimiter keyReadLimiter;
    private int consecutiveFailures;

    /** Creates a client for the state store address in the settings. */
    public StateStoreClient(HttpClient httpClient, Settings settings, TimeSource timeSource) {
        Settings.State limits = settings.state().lowest();
        int controllers = settings.seeds().size() + 1;
        double requestShare = USABLE_RATE_FRACTION * limits.rps() / controllers;
        double writeShare = USABLE_RATE_FRACTION * limits.writeRps() / controllers;
        this.httpClient = new RateLimitedHttpClient(
                httpClient,
                settings.stateAddress(),
                timeSource,
                new RateLimiter(timeSource, requestShare),
                REQUEST_TIMEOUT);
        this.writeLimiter = new RateLimiter(timeSource, writeShare);
        this.keyReadLimiter = new RateLimiter(timeSource, KEY_READ_FRACTION * requestShare);
    }

    /** The rate limiter of this controller's writes, which {@link #commit} charges per change. */
    public RateLimiter writeLimiter() {
        return writeLimiter;
    }

    /** Whether the latest requests were not served, in which case users' requests are rejected at once instead of timing out. */
    public boolean isFailing() {
        return consecutiveFailures >= MIN_CONSECUTIVE_FAILURES_FOR_OUTAGE;
    }

    /** Latency of the calls, in microseconds. */
    public Histogram latency() {
        return httpClient.latency();
    }

    /**
     * Reads a page of keys and their values. The future fails unless the store answers with status 200.
     *
     * @param prefix the common prefix of the keys
     * @param after the last key of the previous page, empty for the first page
     */
    public CompletableFuture<StateMessages.Entries> list(String prefix, String after, int maxKeys) {
        String since = after.isEmpty() ? "" : "&since=" + after;
        String target = "/keys?under=" + prefix + since + "&limit=" + maxKeys;
        return requireOk(call(false, "GET", target, NO_BODY)).thenApply(StateMessages::page);
    }

    /** The number of reads of single keys that may be pending; more would not be answered in time. */
    int maxPendingKeyReads() {
        return Math.max(MIN_PENDING_KEY_READS, (int) (MAX_KEY_READ_WAIT_SECONDS * keyReadLimiter.perSecond()));
    }

    /**
     * Reads one key. The future fails unless the store answers that it has the key or that it has not. Such reads are paced apart from
     * the other requests, so that any number of them leaves most of the request rate to these.
     */
    CompletableFuture<StateMessages.KeyState> read(String key) {
        var permitted = new CompletableFuture<Void>();
        keyReadLimiter.submit(false, 1, () -> permitted.complete(null));
        return permitted
                .thenCompose(nothing -> call(false, "GET", "/keys/" + key, NO_BODY))
                .thenCompose(StateStoreClient::keyState);
    }

    private static CompletableFuture<StateMessages.KeyState> keyState(HttpClientResponse response) {
        if (response.status() != HttpStatus.OK && response.status() != HttpStatus.NOT_FOUND) {
            return CompletableFuture.failedFuture(unexpectedStatus(response));
        }
        try {
            return CompletableFuture.completedFuture(
                    response.status() == HttpStatus.OK
                            ? StateMessages.presentKey(response.body())
                            : StateMessages.absentKey(response.body()));
        } catch (MalformedMessageException e) {
            return CompletableFuture.failedFuture(new HttpCallException(e.getMessage(), true));
        }
    }

    /** Reads all changes after a revision without waiting for new ones; the status is 410 if the revision has been compacted. */
    public CompletableFuture<HttpClientResponse> changes(String prefix, long revision) {
        return call(false, "GET", "/watch?under=" + prefix + "&since=" + revision + "&holdMs=0", NO_BODY);
    }

    /** Requests a new lease and returns the id that the store assigned to it. */
    public CompletableFuture<OptionalLong> grantLease(Duration ttl) {
        return requireOk(call(true, "POST", "/holds", MessagePackCodec.write(StateMessages.lease(ttl))))
                .thenApply(StateMessages::leaseId);
    }

    /** Renews a lease; false if it has expired. */
    public CompletableFuture<Boolean> renewLease(long lease) {
        return call(true, "POST", "/holds/" + lease + "/renew", MessagePackCodec.write(MessagePackCodec.map()))
                .thenCompose(response -> switch (response.status()) {
                    case HttpStatus.OK -> CompletableFuture.completedFuture(true);
                    case HttpStatus.NOT_FOUND -> CompletableFuture.completedFuture(false);
                    default -> CompletableFuture.failedFuture(unexpectedStatus(response));
                });
    }

    /** Revokes a lease and removes the keys attached to it. A failure is only logged, since the lease then expires. */
    public void revokeLease(long lease) {
        call(true, "DELETE", "/holds/" + lease, NO_BODY).whenComplete((response, failure) -> {
            if (failure != null) {
                LOG.debug("lease revocation failed lease={} cause={}", lease, failure.toString());
            }
        });
    }

    /** Commits a transaction immediately and charges its changes; callers with many must pace them. The future never fails. */
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        var result = new CompletableFuture<TransactionResult>();
        writeLimiter.charge(transaction.changeCount());
        call(false, "POST", "/txn", MessagePackCodec.write(transaction.toNode()))
                .whenComplete((response, failure) -> result.complete(result(response, failure)));
        return result;
    }

    private static TransactionResult result(HttpClientResponse response, Throwable failure) {
        if (failure != null) {
            return wasSent(failure)
                    ? new TransactionResult.Unknown()
                    : new TransactionResult.Refused(0, "no connection");
        }
        return switch (response.status()) {
            case HttpStatus.OK -> applied(response);
            case HttpStatus.CONFLICT -> new TransactionResult.Conflict(failedKeys(response));
            case HttpStatus.BAD_REQUEST,
                    HttpStatus.CONTENT_TOO_LARGE,
                    HttpStatus.TOO_MANY_REQUESTS,
                    HttpStatus.SERVICE_UNAVAILABLE ->
                new TransactionResult.Refused(
                        response.status(), new String(response.body(), StandardCharsets.ISO_8859_1));
            default -> new TransactionResult.Unknown();
        };
    }

    private static TransactionResult applied(HttpClientResponse response) {
        try {
            return new TransactionResult.Applied(StateMessages.revision(response.body()));
        } catch (MalformedMessageException e) {
            LOG.debug("commit response without a readable revision cause={}", e.getMessage());
            return new TransactionResult.Unknown();
        }
    }

    private static Set<String> failedKeys(HttpClientResponse response) {
        try {
            return StateMessages.failedKeys(response.body());
        } catch (MalformedMessageException e) {
            LOG.debug("conflict response without readable keys cause={}", e.getMessage());
            return Set.of();
        }
    }

    private static boolean wasSent(Throwable failure) {
        Throwable cause = HttpCallException.cause(failure);
        return !(cause instanceof HttpCallException callFailure) || callFailure.sent();
    }

    private static CompletableFuture<JsonNode> requireOk(CompletableFuture<HttpClientResponse> call) {
        return call.thenCompose(response -> {
            if (response.status() != HttpStatus.OK) {
                return CompletableFuture.failedFuture(unexpectedStatus(response));
            }
            try {
                return CompletableFuture.completedFuture(MessagePackCodec.read(response.body()));
            } catch (MalformedMessageException e) {
                return CompletableFuture.failedFuture(new HttpCallException("response is not valid MessagePack", true));
            }
        });
    }

    private static HttpCallException unexpectedStatus(HttpClientResponse response) {
        return new HttpCallException("unexpected status " + response.status(), true);
    }

    private CompletableFuture<HttpClientResponse> call(boolean urgent, String method, String target, byte[] body) {
        return httpClient.call(urgent, method, target, body).whenComplete((response, failure) -> {
            // A response that reports an exceeded rate limit still shows that the store is available.
            boolean served = response != null && response.status() != HttpStatus.SERVICE_UNAVAILABLE;
            consecutiveFailures = served ? 0 : consecutiveFailures + 1;
        });
    }
}
