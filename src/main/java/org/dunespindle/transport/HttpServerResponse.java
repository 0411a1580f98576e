package org.dunespindle.transport;

import java.time.Duration;
import java.util.Optional;

/**
 * What a listener answers.
 *
 * @param last whether the connection ends after it
 */
public record HttpServerResponse(
        int status, String contentType, byte[] body, Optional<Duration> retryAfter, boolean last) {
    /** Creates a reply that leaves the connection open. */
    public HttpServerResponse(int status, String contentType, byte[] body, Optional<Duration> retryAfter) {
        this(status, contentType, body, retryAfter, false);
    }

    /** The same, after which the connection ends. */
    public HttpServerResponse andClose() {
        return new HttpServerResponse(status, contentType, body, retryAfter, true);
    }
}
