package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.protocol.MessagePackCodec;

/** The stored record of the leader; it ends with the leader's lease. */
record LeaderRecord(String node, long incarnation) {
    private static final String NODE = "node";
    private static final String INCARNATION = "inc";

    /** Reads a stored record. */
    static LeaderRecord parse(JsonNode record) {
        return new LeaderRecord(
                record.path(NODE).asText(), record.path(INCARNATION).longValue());
    }

    /** The record as it is stored. */
    ObjectNode toNode() {
        return MessagePackCodec.map().put(NODE, node).put(INCARNATION, incarnation);
    }
}
