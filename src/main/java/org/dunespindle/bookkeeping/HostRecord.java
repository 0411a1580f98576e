package org.dunespindle.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.dunespindle.protocol.Pack;

/**
 * A machine: who commands it, under which fencing token, and what it is. Every change of hands raises the
 * token, so that a transaction guarded by the record's stamp can only come from the present owner.
 *
 * @param keepUntil no rebalancing before then: the owner took the machine because its worker could not reach the other
 * @param leaving being returned; nothing may be placed on it any more
 */
public record HostRecord(String id, String address, String type, String zone, boolean spot, String owner, long incarnation, long token, Instant rented,
        Instant keepUntil, boolean leaving, String why) {

    /** Reasons for leaving that let present work end first. */
    public static final String IDLE = "it is idle";
    public static final String DRAINED = "an operator drains it";

    /** Whether the machine is given back only once its tasks have ended. */
    public boolean leavesWhenEmpty() {
        return why.equals(IDLE) || why.equals(DRAINED);
    }

    public HostRecord ownedBy(String node, long inc, Instant keep) {
        return new HostRecord(id, address, type, zone, spot, node, inc, token + 1, rented, keep, leaving, why);
    }

    /** The same owner under a higher token: commands still under way with the old one become void. */
    public HostRecord fenced() {
        return new HostRecord(id, address, type, zone, spot, owner, incarnation, token + 1, rented, keepUntil, leaving, why);
    }

    public HostRecord leaving(String reason) {
        return new HostRecord(id, address, type, zone, spot, owner, incarnation, token, rented, keepUntil, true, reason);
    }

    public ObjectNode toNode() {
        return Pack.map().put("addr", address).put("type", type).put("zone", zone).put("spot", spot).put("owner", owner).put("inc", incarnation).put("token", token)
                .put("rented", rented.toEpochMilli()).put("keep", keepUntil.toEpochMilli()).put("leaving", leaving).put("why", why);
    }

    public static HostRecord parse(String id, JsonNode n) {
        return new HostRecord(id, n.path("addr").asText(), n.path("type").asText(), n.path("zone").asText(), n.path("spot").booleanValue(), n.path("owner").asText(),
                n.path("inc").longValue(), n.path("token").longValue(), Instant.ofEpochMilli(n.path("rented").longValue()),
                Instant.ofEpochMilli(n.path("keep").longValue()), n.path("leaving").booleanValue(), n.path("why").asText(""));
    }
}
