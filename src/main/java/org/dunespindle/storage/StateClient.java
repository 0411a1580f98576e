package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.dunespindle.protocol.MalformedException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.Timeline;
import org.dunespindle.transport.CallFailure;
import org.dunespindle.transport.Caller;
import org.dunespindle.transport.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service, called within this controller's share of its rates. */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
    private static final Duration TIMEOUT = Duration.ofMillis(1800);
    /** Controllers' clocks differ a little, so their shares leave some of the rate unused. */
    private static final double SAFE_PART = 0.9;

    private final MeteredCaller service;
    private final RateBudget writes;
    private int failuresInARow;

    /** Creates a client for the state service that the settings name. */
    public StateClient(Caller http, Settings settings, Timeline timeline) {
        Settings.State limits = settings.state().lowest();
        int sharers = settings.seeds().size() + 1;
        double requestShare = SAFE_PART * limits.rps() / sharers;
        double writeShare = SAFE_PART * limits.writeRps() / sharers;
        this.service = new MeteredCaller(
                http, settings.stateAddress(), timeline, new RateBudget(timeline, requestShare), TIMEOUT);
        this.writes = new RateBudget(timeline, writeShare);
    }

    /** What this controller may write; changes are paid for as they are committed. */
    public RateBudget writes() {
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
    public CompletableFuture<HttpAnswer> changes(String under, long since) {
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
                .thenCompose(a -> switch (a.status()) {
                    case 200 -> CompletableFuture.completedFuture(true);
                    case 404 -> CompletableFuture.completedFuture(false);
                    default -> CompletableFuture.failedFuture(new CallFailure("status " + a.status(), true));
                });
    }

    /** Ends a lease and removes what is attached to it. */
    public void endLease(long lease) {
        call(true, "DELETE", "/holds/" + lease, new byte[0]);
    }

    /** Commits a transaction at once and charges its changes; whoever has many paces them. Never fails, see the result. */
    public CompletableFuture<TxnResult> commit(Txn txn) {
        var result = new CompletableFuture<TxnResult>();
        writes.charge(txn.changeCount());
        call(false, "POST", "/txn", MessagePackCodec.write(txn.toNode()))
                .whenComplete((a, e) -> result.complete(judge(a, e)));
        return result;
    }

    private static TxnResult judge(HttpAnswer answer, Throwable failure) {
        if (failure != null) {
            return sent(failure) ? new TxnResult.Unknown() : new TxnResult.Refused(0, "no connection");
        }
        return switch (answer.status()) {
            case 200 -> {
                try {
                    yield new TxnResult.Applied(StateMessages.revision(answer.body()));
                } catch (MalformedException e) {
                    yield new TxnResult.Unknown();
                }
            }
            case 409 -> new TxnResult.Conflict(failedKeys(answer));
            case 400, 413, 429, 503 ->
                new TxnResult.Refused(
                        answer.status(), new String(answer.body(), java.nio.charset.StandardCharsets.ISO_8859_1));
            default -> new TxnResult.Unknown();
        };
    }

    private static Set<String> failedKeys(HttpAnswer answer) {
        try {
            return StateMessages.failedKeys(answer.body());
        } catch (MalformedException e) {
            LOG.debug("a conflict without a readable reason");
            return Set.of();
        }
    }

    private static boolean sent(Throwable failure) {
        Throwable cause = CallFailure.cause(failure);
        return !(cause instanceof CallFailure f) || f.sent();
    }

    private static CompletableFuture<JsonNode> ok(CompletableFuture<HttpAnswer> answer) {
        return answer.thenCompose(a -> {
            if (a.status() != 200) {
                return CompletableFuture.failedFuture(new CallFailure("status " + a.status(), true));
            }
            try {
                return CompletableFuture.completedFuture(MessagePackCodec.read(a.body()));
            } catch (MalformedException e) {
                return CompletableFuture.failedFuture(new CallFailure("unreadable answer", true));
            }
        });
    }

    private CompletableFuture<HttpAnswer> call(boolean first, String method, String target, byte[] body) {
        return service.call(first, method, target, body).whenComplete((a, e) -> {
            // A refusal for the rate alone says that the service is there.
            boolean served = a != null && a.status() != 503;
            failuresInARow = served ? 0 : failuresInARow + 1;
        });
    }
}
