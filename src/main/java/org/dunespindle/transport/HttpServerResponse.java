package org.dunespindle.transport;

import java.time.Duration;
import java.util.Optional;

/**
 * A response of a listener.
 *
 * @param retryAfter the value of the Retry-After header, sent in whole seconds and at least 1
 * @param closesConnection whether the connection is closed after this response
 */
public record HttpServerResponse(
        int status, String contentType, byte[] body, Optional<Duration> retryAfter, boolean closesConnection) {
    /** Creates a response after which the connection stays open. */
    public HttpServerResponse(int status, String contentType, byte[] body, Optional<Duration> retryAfter) {
        this(status, contentType, body, retryAfter, false);
    }

    /** A copy of this response after which the connection is closed. */
    public HttpServerResponse andClose() {
        return new HttpServerResponse(status, contentType, body, retryAfter, true);
    }
}
