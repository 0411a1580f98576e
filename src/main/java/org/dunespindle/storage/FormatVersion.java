package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/**
 * Versions of what controllers store. Each controller announces the newest version that it reads; the stored version is
 * raised once all of them have announced it, never lowered, and allows the forms that came with it.
 */
public final class FormatVersion {
    /** What was stored before versions were: every record is one value. */
    public static final int WHOLE_RECORDS = 1;
    /** Job records that do not fit into one value may be cut into parts. */
    public static final int JOB_PARTS = 2;
    /** Job records may tell of other cells. */
    public static final int CELL_TIES = 3;
    /** The newest version that this program reads. */
    public static final int NEWEST = CELL_TIES;
    /** The newest version that needs no feature to be switched on. */
    public static final int WITHOUT_FEATURES = JOB_PARTS;

    private static final String FIELD = "version";

    private FormatVersion() {}

    /** Reads a version from a record that may tell one; without any it is the first. */
    public static int of(Optional<JsonNode> record) {
        return record.map(node -> node.path(FIELD).asInt(WHOLE_RECORDS)).orElse(WHOLE_RECORDS);
    }

    /** Adds a version to a record. */
    public static ObjectNode put(ObjectNode record, int version) {
        return record.put(FIELD, version);
    }

    /** The record of the stored version. */
    public static ObjectNode record(int version) {
        return put(MessagePackCodec.map(), version);
    }
}
