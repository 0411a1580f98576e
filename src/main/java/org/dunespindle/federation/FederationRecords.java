package org.dunespindle.federation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;

/** Encodes and decodes the stored records of this cell and of remote cells. */
final class FederationRecords {
    private static final String NAME = "name";
    private static final String IDENTITY = "identity";
    private static final String INCARNATION = "incarnation";
    private static final String MARK = "mark";
    private static final String LEADER_STAMP = "leader";
    private static final String FLOOR = "floor";
    private static final String ABANDONED = "abandoned";

    private FederationRecords() {}

    /**
     * This cell, as stored by its leader.
     *
     * @param leaderStamp the revision of the leader key at that time: under a newer leader it differs, and the incarnation is raised
     */
    record OwnCell(CellId id, long leaderStamp) {}

    /**
     * A remote cell, as it described itself.
     *
     * @param floor the cell's lowest open transfer: all of its transfers with lower numbers have ended
     * @param abandoned whether an operator has abandoned the cell
     */
    record KnownCell(CellId id, long floor, boolean abandoned) {
        KnownCell abandon() {
            return new KnownCell(id, floor, true);
        }
    }

    static ObjectNode write(OwnCell cell) {
        return putId(MessagePackCodec.map(), cell.id).put(LEADER_STAMP, cell.leaderStamp);
    }

    static ObjectNode write(KnownCell cell) {
        return putId(MessagePackCodec.map(), cell.id).put(FLOOR, cell.floor).put(ABANDONED, cell.abandoned);
    }

    static OwnCell readOwn(JsonNode value) throws MalformedMessageException {
        return new OwnCell(readId(value), whole(value, LEADER_STAMP));
    }

    static KnownCell readKnown(JsonNode value) throws MalformedMessageException {
        return new KnownCell(
                readId(value), whole(value, FLOOR), value.path(ABANDONED).asBoolean());
    }

    /** Adds a cell's identity to a stored value or a message. */
    static ObjectNode putId(ObjectNode into, CellId id) {
        return into.put(NAME, id.name())
                .put(IDENTITY, id.identity())
                .put(INCARNATION, id.incarnation())
                .put(MARK, id.mark());
    }

    /** Reads a cell's identity from a stored value or a message. */
    static CellId readId(JsonNode from) throws MalformedMessageException {
        return new CellId(text(from, NAME), text(from, IDENTITY), whole(from, INCARNATION), text(from, MARK));
    }

    static String text(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new MalformedMessageException(field + " must be text");
        }
        return value.textValue();
    }

    static long whole(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new MalformedMessageException(field + " must be a whole number");
        }
        return value.longValue();
    }
}
