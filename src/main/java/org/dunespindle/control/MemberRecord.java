package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.FormatVersion;

/**
 * The stored record of a live controller; the state store deletes it when the controller's lease ends.
 *
 * @param formatVersion the newest format version that the controller announces; programs from before format versions store none
 */
record MemberRecord(long incarnation, int formatVersion) {
    private static final String INCARNATION = "inc";

    /** Reads a stored record. */
    static MemberRecord parse(JsonNode record) {
        return new MemberRecord(record.path(INCARNATION).longValue(), FormatVersion.of(Optional.of(record)));
    }

    /** Encodes the record for the state store. */
    ObjectNode toNode() {
        return FormatVersion.put(MessagePackCodec.map().put(INCARNATION, incarnation), formatVersion);
    }
}
