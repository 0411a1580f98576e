package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request to the cloud for machines of one type and zone, either spot or ordinary.
 *
 * @param id the idempotency key; never reused, since the cloud repeats its first answer for a known id
 */
public record RentalRequest(String id, String type, String zone, boolean spot, int count) {
    /** The request body. */
    public ObjectNode toNode() {
        return MessagePackCodec.map()
                .put("charter", id)
                .put("hull", type)
                .put("dune", zone)
                .put("driftwood", spot)
                .put("count", count);
    }
}
