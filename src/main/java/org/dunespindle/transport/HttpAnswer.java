package org.dunespindle.transport;

/** An answer that arrived whole. */
public record HttpAnswer(int status, byte[] body) {}
