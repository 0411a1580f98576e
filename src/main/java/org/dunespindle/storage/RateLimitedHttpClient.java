package org.dunespindle.storage;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** Calls one outside service within a budget and measures how long it takes to answer. */
public final class RateLimitedHttpClient {
    private static final long LONGEST_MICROS = 60_000_000L;
    private final HttpClient httpClient;
    private final String address;
    private final TimeSource timeSource;
    private final RateLimiter rateLimiter;
    private final Duration timeout;
    private final Histogram latency = new Histogram(LONGEST_MICROS, 2);

    /** Creates a caller for one address, with a budget and a time limit for each call. */
    public RateLimitedHttpClient(
            HttpClient httpClient, String address, TimeSource timeSource, RateLimiter rateLimiter, Duration timeout) {
        this.httpClient = httpClient;
        this.address = address;
        this.timeSource = timeSource;
        this.rateLimiter = rateLimiter;
        this.timeout = timeout;
    }

    /** How long calls took, in microseconds. */
    public Histogram latency() {
        return latency;
    }

    /** Sends a MessagePack request once the budget allows; renewals go first. */
    public CompletableFuture<HttpClientResponse> call(boolean first, String method, String target, byte[] body) {
        var result = new CompletableFuture<HttpClientResponse>();
        rateLimiter.submit(first, 1, () -> {
            Duration begun = timeSource.now();
            httpClient
                    .send(address, method, target, body, MessagePackCodec.TYPE, timeout)
                    .whenComplete((response, e) -> {
                        latency.recordValue(Math.min(
                                LONGEST_MICROS, timeSource.now().minus(begun).toNanos() / 1000));
                        if (e != null) {
                            result.completeExceptionally(e);
                        } else {
                            result.complete(response);
                        }
                    });
        });
        return result;
    }
}
