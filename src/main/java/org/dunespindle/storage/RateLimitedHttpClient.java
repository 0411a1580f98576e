package org.dunespindle.storage;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** Client of one external service that applies a rate limit and records call latency. */
public final class RateLimitedHttpClient {
    private static final long MAX_RECORDED_LATENCY_MICROS = 60_000_000L;
    private static final int LATENCY_SIGNIFICANT_DIGITS = 2;
    private static final long NANOS_PER_MICRO = 1000;
    private static final double COST_OF_CALL = 1;

    private final HttpClient httpClient;
    private final String address;
    private final TimeSource timeSource;
    private final RateLimiter rateLimiter;
    private final Duration timeout;
    private final Histogram latency = new Histogram(MAX_RECORDED_LATENCY_MICROS, LATENCY_SIGNIFICANT_DIGITS);

    /** Creates a client for one address, with a rate limit and a timeout for each call. */
    public RateLimitedHttpClient(
            HttpClient httpClient, String address, TimeSource timeSource, RateLimiter rateLimiter, Duration timeout) {
        this.httpClient = httpClient;
        this.address = address;
        this.timeSource = timeSource;
        this.rateLimiter = rateLimiter;
        this.timeout = timeout;
    }

    /** Latency of the calls, in microseconds. */
    public Histogram latency() {
        return latency;
    }

    /** Sends a MessagePack request once the rate limit permits; urgent calls (lease renewals) are sent first. */
    public CompletableFuture<HttpClientResponse> call(boolean urgent, String method, String target, byte[] body) {
        var result = new CompletableFuture<HttpClientResponse>();
        rateLimiter.submit(urgent, COST_OF_CALL, () -> send(method, target, body, result));
        return result;
    }

    private void send(String method, String target, byte[] body, CompletableFuture<HttpClientResponse> result) {
        Duration startedAt = timeSource.now();
        httpClient
                .send(address, method, target, body, MessagePackCodec.CONTENT_TYPE, timeout)
                .whenComplete((response, failure) -> {
                    recordLatency(timeSource.now().minus(startedAt));
                    if (failure != null) {
                        result.completeExceptionally(failure);
                    } else {
                        result.complete(response);
                    }
                });
    }

    private void recordLatency(Duration elapsed) {
        latency.recordValue(Math.min(MAX_RECORDED_LATENCY_MICROS, elapsed.toNanos() / NANOS_PER_MICRO));
    }
}
