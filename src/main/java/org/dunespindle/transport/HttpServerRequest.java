package org.dunespindle.transport;

/** A request that a listener has received. The path excludes the query; the query is not decoded, and empty if there is none. */
public record HttpServerRequest(String method, String path, String query, byte[] body) {}
