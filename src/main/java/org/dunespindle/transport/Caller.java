package org.dunespindle.transport;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends requests; what the layers above know of the network. */
@FunctionalInterface
public interface Caller {
    /** Sends a request; the result fails with a {@link CallFailure} when no whole answer came in time. */
    CompletableFuture<HttpAnswer> send(
            String address, String method, String target, byte[] body, String contentType, Duration timeout);
}
