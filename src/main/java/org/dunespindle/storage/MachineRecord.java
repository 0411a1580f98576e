package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Instant;

/**
 * The stored state of a machine: which controller owns it, under which fencing token, and what it is. Every change of owner
 * raises the token, so that a transaction with the record's revision as a precondition can only come from the present owner.
 *
 * @param owner the name of the owning controller
 * @param incarnation of the owning controller
 * @param token the fencing token that commands to the machine's worker carry
 * @param keepUntil no rebalancing before then: the owner took the machine over because its worker could not reach the other
 * @param draining whether it is being returned to the cloud; nothing may be placed on it any more
 * @param drainReason why it is draining, empty while it is not
 */
public record MachineRecord(
        String id,
        String address,
        String type,
        String zone,
        boolean spot,
        String owner,
        long incarnation,
        long token,
        Instant rentedAt,
        Instant keepUntil,
        boolean draining,
        String drainReason) {

    /** The stored drain reason of a machine that scales in because nothing runs on it. */
    public static final String DRAIN_REASON_IDLE = "it is idle";

    /** The stored drain reason of a machine that an operator drains. */
    public static final String DRAIN_REASON_OPERATOR = "an operator drains it";

    /** The columns of a row, in their stored order. */
    private enum Column {
        ADDRESS,
        TYPE,
        ZONE,
        SPOT,
        OWNER,
        INCARNATION,
        TOKEN,
        RENTED,
        KEEP_UNTIL,
        DRAINING,
        DRAIN_REASON;

        JsonNode in(JsonNode row) {
            return row.path(ordinal());
        }
    }

    /** Whether the machine is returned only once its tasks have ended. */
    public boolean drainsGracefully() {
        return drainReason.equals(DRAIN_REASON_IDLE) || drainReason.equals(DRAIN_REASON_OPERATOR);
    }

    /** The record under a new owner and a raised fencing token. */
    public MachineRecord ownedBy(String newOwner, long newIncarnation, Instant newKeepUntil) {
        return new MachineRecord(
                id,
                address,
                type,
                zone,
                spot,
                newOwner,
                newIncarnation,
                token + 1,
                rentedAt,
                newKeepUntil,
                draining,
                drainReason);
    }

    /** The same owner under a higher token: commands still under way with the old one become void. */
    public MachineRecord withNextToken() {
        return withToken(token + 1);
    }

    /** The record under a token that the worker has not seen yet, should it know a higher one than was stored. */
    public MachineRecord withTokenAbove(long seen) {
        return token > seen ? this : withToken(seen + 1);
    }

    private MachineRecord withToken(long newToken) {
        return new MachineRecord(
                id,
                address,
                type,
                zone,
                spot,
                owner,
                incarnation,
                newToken,
                rentedAt,
                keepUntil,
                draining,
                drainReason);
    }

    /** The record of a machine that is being returned, with the reason. */
    public MachineRecord draining(String reason) {
        return new MachineRecord(
                id, address, type, zone, spot, owner, incarnation, token, rentedAt, keepUntil, true, reason);
    }

    /** The record with another address, unless that is empty. */
    public MachineRecord withAddress(String newAddress) {
        if (newAddress.isEmpty() || newAddress.equals(address)) {
            return this;
        }
        return new MachineRecord(
                id,
                newAddress,
                type,
                zone,
                spot,
                owner,
                incarnation,
                token,
                rentedAt,
                keepUntil,
                draining,
                drainReason);
    }

    /** The row on the page that the machine is stored on; rows are positional, since a page holds several. */
    ArrayNode toRow() {
        return JsonNodeFactory.instance
                .arrayNode()
                .add(address)
                .add(type)
                .add(zone)
                .add(spot)
                .add(owner)
                .add(incarnation)
                .add(token)
                .add(rentedAt.toEpochMilli())
                .add(keepUntil.toEpochMilli())
                .add(draining)
                .add(drainReason);
    }

    /** Parses the row that {@link #toRow} writes. */
    static MachineRecord parse(String id, JsonNode row) {
        return new MachineRecord(
                id,
                Column.ADDRESS.in(row).asText(),
                Column.TYPE.in(row).asText(),
                Column.ZONE.in(row).asText(),
                Column.SPOT.in(row).booleanValue(),
                Column.OWNER.in(row).asText(),
                Column.INCARNATION.in(row).longValue(),
                Column.TOKEN.in(row).longValue(),
                Instant.ofEpochMilli(Column.RENTED.in(row).longValue()),
                Instant.ofEpochMilli(Column.KEEP_UNTIL.in(row).longValue()),
                Column.DRAINING.in(row).booleanValue(),
                Column.DRAIN_REASON.in(row).asText(""));
    }
}
