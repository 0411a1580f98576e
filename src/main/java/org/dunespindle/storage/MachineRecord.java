package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Instant;

/**
 * A machine: who commands it, under which fencing token, and what it is. Every change of hands raises the
 * token, so that a transaction guarded by the record's stamp can only come from the present owner.
 *
 * @param keepUntil no rebalancing before then: the owner took the machine because its worker could not reach the other
 * @param draining being returned; nothing may be placed on it any more
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
        Instant rented,
        Instant keepUntil,
        boolean draining,
        String drainReason) {

    /** Reasons for leaving that let present work end first. */
    public static final String IDLE = "it is idle";

    public static final String DRAINED = "an operator drains it";

    /** Whether the machine is given back only once its tasks have ended. */
    public boolean drainsGracefully() {
        return drainReason.equals(IDLE) || drainReason.equals(DRAINED);
    }

    /** The record under a new owner and a raised fencing token. */
    public MachineRecord ownedBy(String node, long inc, Instant keep) {
        return new MachineRecord(
                id, address, type, zone, spot, node, inc, token + 1, rented, keep, draining, drainReason);
    }

    /** The same owner under a higher token: commands still under way with the old one become void. */
    public MachineRecord withNextToken() {
        return new MachineRecord(
                id, address, type, zone, spot, owner, incarnation, token + 1, rented, keepUntil, draining, drainReason);
    }

    /** The same under a token that the worker has not seen yet, should it know a higher one than was stored. */
    public MachineRecord withTokenAbove(long seen) {
        return token > seen
                ? this
                : new MachineRecord(
                        id,
                        address,
                        type,
                        zone,
                        spot,
                        owner,
                        incarnation,
                        seen + 1,
                        rented,
                        keepUntil,
                        draining,
                        drainReason);
    }

    /** The record of a machine that is being returned, with the reason. */
    public MachineRecord draining(String reason) {
        return new MachineRecord(
                id, address, type, zone, spot, owner, incarnation, token, rented, keepUntil, true, reason);
    }

    /** The record with another address, unless that is empty. */
    public MachineRecord withAddress(String newAddress) {
        return newAddress.isEmpty() || newAddress.equals(address)
                ? this
                : new MachineRecord(
                        id,
                        newAddress,
                        type,
                        zone,
                        spot,
                        owner,
                        incarnation,
                        token,
                        rented,
                        keepUntil,
                        draining,
                        drainReason);
    }

    /** A row of the page that the machine is kept on; rows are short, since a page holds several. */
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
                .add(rented.toEpochMilli())
                .add(keepUntil.toEpochMilli())
                .add(draining)
                .add(drainReason);
    }

    static MachineRecord parse(String id, JsonNode n) {
        return new MachineRecord(
                id,
                n.path(0).asText(),
                n.path(1).asText(),
                n.path(2).asText(),
                n.path(3).booleanValue(),
                n.path(4).asText(),
                n.path(5).longValue(),
                n.path(6).longValue(),
                Instant.ofEpochMilli(n.path(7).longValue()),
                Instant.ofEpochMilli(n.path(8).longValue()),
                n.path(9).booleanValue(),
                n.path(10).asText(""));
    }
}
