package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request to the cloud for machines of one type, zone and kind.
 *
 * @param id names the request; never reused, since the cloud answers a repeated one as it did before
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
