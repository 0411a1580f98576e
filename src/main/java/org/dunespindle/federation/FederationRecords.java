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
    private static final String NONCE = "mark";
    private static final String LEADER_REVISION = "leader";
    private static final String LOWEST_OPEN_TRANSFER = "floor";
    private static final String ABANDONED = "abandoned";

    private FederationRecords() {}

    /**
     * This cell, as stored by its leader.
     *
     * @param leaderRevision the revision of the leader key at that time: under a newer leader it differs, and the incarnation is raised
     */
    record OwnCell(CellId id, long leaderRevision) {}

    /**
     * A remote cell, as it described itself.
     *
     * @param lowestOpenTransfer the cell's lowest open transfer: all of its transfers with lower numbers have ended
     * @param abandoned whether an operator has abandoned the cell
     */
    record KnownCell(CellId id, long lowestOpenTransfer, boolean abandoned) {
        KnownCell abandon() {
            return new KnownCell(id, lowestOpenTransfer, true);
        }
    }

    static ObjectNode write(OwnCell cell) {
        return putCellId(MessagePackCodec.map(), cell.id).put(LEADER_REVISION, cell.leaderRevision);
    }

    static ObjectNode write(KnownCell cell) {
        return putCellId(MessagePackCodec.map(), cell.id)
                .put(LOWEST_OPEN_TRANSFER, cell.lowestOpenTransfer)
                .put(ABANDONED, cell.abandoned);
    }

    static OwnCell parseOwnCell(JsonNode value) throws MalformedMessageException {
        return new OwnCell(parseCellId(value), nonNegativeLong(value, LEADER_REVISION));
    }

    static KnownCell parseKnownCell(JsonNode value) throws MalformedMessageException {
        return new KnownCell(
                parseCellId(value),
                nonNegativeLong(value, LOWEST_OPEN_TRANSFER),
                value.path(ABANDONED).asBoolean());
    }

    /** Adds a cell's identity to a stored value or a message. */
    static ObjectNode putCellId(ObjectNode into, CellId id) {
        return into.put(NAME, id.name())
                .put(IDENTITY, id.identity())
                .put(INCARNATION, id.incarnation())
                .put(NONCE, id.nonce());
    }

    /** Reads a cell's identity from a stored value or a message. */
    static CellId parseCellId(JsonNode from) throws MalformedMessageException {
        return new CellId(
                text(from, NAME), text(from, IDENTITY), nonNegativeLong(from, INCARNATION), text(from, NONCE));
    }

    static String text(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new MalformedMessageException(field + " must be text");
        }
        return value.textValue();
    }

    static long nonNegativeLong(JsonNode node, String field) throws MalformedMessageException {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new MalformedMessageException(field + " must be a whole number");
        }
        return value.longValue();
    }
}
