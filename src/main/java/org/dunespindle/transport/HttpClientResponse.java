package org.dunespindle.transport;

/** A complete response to a request. */
public record HttpClientResponse(int status, byte[] body) {}
