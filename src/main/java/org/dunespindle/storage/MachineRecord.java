package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Instant;

/**
 * The stored state of a machine: its owning controller, fencing token and properties. Every change of owner increases the token
 * and the record's revision, so that a transaction with that revision as a precondition can only come from the current owner.
 *
 * @param owner the name of the owning controller
 * @param incarnation the incarnation of the owning controller
 * @param token the fencing token that commands to the machine's worker carry
 * @param keepUntil until when rebalancing skips the machine, since the owner took the machine over because its worker could not
 *     reach the previous owner
 * @param draining whether the machine is to be terminated; no further task may be placed on it
 * @param drainReason why the machine is draining; empty while it is not
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

    /** The stored drain reason of an idle machine that is scaled in. */
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

    /** Whether the machine is terminated only after its tasks have ended. */
    public boolean drainsGracefully() {
        return drainReason.equals(DRAIN_REASON_IDLE) || drainReason.equals(DRAIN_REASON_OPERATOR);
    }

    /** The record with a new owner and the next fencing token. */
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

    /** The record with the same owner and the next token, which invalidates commands in transit with the old one. */
    public MachineRecord withNextToken() {
        return withToken(token + 1);
    }

    /** The record, with its token raised if necessary above the highest one that the worker has seen. */
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

    /** The record marked as draining, with the reason. */
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

    /** The stored form of the record: a row of positional columns, which keeps pages with several rows small. */
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
