package org.dunespindle.transport;

/** An answer that arrived whole. */
public record HttpClientResponse(int status, byte[] body) {}
