package org.dunespindle.transport;

/** A request as a listener receives it: path without its query, query still escaped. */
public record HttpServerRequest(String method, String path, String query, byte[] body) {}
