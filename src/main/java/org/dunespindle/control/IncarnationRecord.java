package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/** The stored counter of a controller's incarnations. It is not bound to a lease, so it persists across restarts. */
record IncarnationRecord(long incarnation) {
    private static final String INCARNATION = "n";

    /** Reads the stored record; it is absent before the first incarnation. */
    static IncarnationRecord parse(Optional<JsonNode> record) {
        return new IncarnationRecord(
                record.map(node -> node.path(INCARNATION).longValue()).orElse(0L));
    }

    /** The record of the next incarnation. */
    IncarnationRecord next() {
        return new IncarnationRecord(incarnation + 1);
    }

    /** Encodes the record for the state store. */
    ObjectNode toNode() {
        return MessagePackCodec.map().put(INCARNATION, incarnation);
    }
}
