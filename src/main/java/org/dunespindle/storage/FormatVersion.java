package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/**
 * Versions of the stored format. Each controller announces the newest version that it supports. The stored version is raised
 * once all controllers have announced it and is never lowered; it permits the forms introduced up to that version.
 */
public final class FormatVersion {
    /** The format before versions were introduced: every record is one value. */
    public static final int WHOLE_RECORDS = 1;
    /** Job records that do not fit into one value may be split into chunks. */
    public static final int CHUNKED_JOB_RECORDS = 2;
    /** Job records may contain a link to another cell, see {@link DelegationLink}. */
    public static final int DELEGATION_LINKS = 3;
    /** The newest version that this program can read. */
    public static final int NEWEST = DELEGATION_LINKS;
    /** The newest version that requires no optional feature. */
    public static final int NEWEST_WITHOUT_FEATURES = CHUNKED_JOB_RECORDS;

    private static final String VERSION_FIELD = "version";

    private FormatVersion() {}

    /** Reads the version from a record; {@link #WHOLE_RECORDS} if the record or the field is absent. */
    public static int of(Optional<JsonNode> record) {
        return record.map(node -> node.path(VERSION_FIELD).asInt(WHOLE_RECORDS)).orElse(WHOLE_RECORDS);
    }

    /** Adds a version to a record. */
    public static ObjectNode put(ObjectNode record, int version) {
        return record.put(VERSION_FIELD, version);
    }

    /** The record of the stored version. */
    public static ObjectNode record(int version) {
        return put(MessagePackCodec.map(), version);
    }
}
