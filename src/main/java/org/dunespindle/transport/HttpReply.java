package org.dunespindle.transport;

import java.time.Duration;
import java.util.Optional;

/** What a listener answers. */
public record HttpReply(int status, String contentType, byte[] body, Optional<Duration> retryAfter) {}
