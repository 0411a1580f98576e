package org.dunespindle.transport;

import java.time.Duration;
import java.util.Optional;

/**
 * What a listener answers.
 *
 * @param last whether the connection ends after it
 */
public record HttpReply(int status, String contentType, byte[] body, Optional<Duration> retryAfter, boolean last) {
    /** Creates a reply that leaves the connection open. */
    public HttpReply(int status, String contentType, byte[] body, Optional<Duration> retryAfter) {
        this(status, contentType, body, retryAfter, false);
    }

    /** The same, after which the connection ends. */
    public HttpReply andClose() {
        return new HttpReply(status, contentType, body, retryAfter, true);
    }
}
