package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/** The stored counter of a controller's incarnations; it outlives all of them. */
record IncarnationRecord(long incarnation) {
    private static final String INCARNATION = "n";

    /** Reads a stored record; before the first incarnation there is none. */
    static IncarnationRecord parse(Optional<JsonNode> record) {
        return new IncarnationRecord(
                record.map(node -> node.path(INCARNATION).longValue()).orElse(0L));
    }

    /** The record of the following incarnation. */
    IncarnationRecord next() {
        return new IncarnationRecord(incarnation + 1);
    }

    /** The record as it is stored. */
    ObjectNode toNode() {
        return MessagePackCodec.map().put(INCARNATION, incarnation);
    }
}
