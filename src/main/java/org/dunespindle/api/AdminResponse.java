package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An answer before it is put on the wire. */
public record AdminResponse(int status, ObjectNode body) {}
