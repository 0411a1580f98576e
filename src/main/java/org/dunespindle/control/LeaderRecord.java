package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.protocol.MessagePackCodec;

/** The stored record of the leader; the state store deletes it when the leader's lease ends. */
public record LeaderRecord(String node, long incarnation) {
    private static final String NODE = "node";
    private static final String INCARNATION = "inc";

    /** Reads a stored record. */
    static LeaderRecord parse(JsonNode record) {
        return new LeaderRecord(
                record.path(NODE).asText(), record.path(INCARNATION).longValue());
    }

    /** Encodes the record for the state store. */
    ObjectNode toNode() {
        return MessagePackCodec.map().put(NODE, node).put(INCARNATION, incarnation);
    }
}
