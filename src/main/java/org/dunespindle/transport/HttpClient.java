package org.dunespindle.transport;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends requests; what the layers above know of the network. */
@FunctionalInterface
public interface HttpClient {
    /** Sends a request; the result fails with a {@link HttpCallException} when no whole answer came in time. */
    CompletableFuture<HttpClientResponse> send(
            String address, String method, String target, byte[] body, String contentType, Duration timeout);
}
