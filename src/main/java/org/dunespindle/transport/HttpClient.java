package org.dunespindle.transport;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests; the simulation implements it without a network. */
@FunctionalInterface
public interface HttpClient {
    /** Sends a request; the result fails with a {@link HttpCallException} if no complete response arrives within the timeout. */
    CompletableFuture<HttpClientResponse> send(
            String address, String method, String target, byte[] body, String contentType, Duration timeout);
}
