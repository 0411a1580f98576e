package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A rentable machine type from the cloud's catalog.
 *
 * @param cacheGb the size of the machine's image cache
 * @param fetchGbPerS the rate at which the machine fetches images
 * @param bootTime the nominal boot time
 */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        Duration bootTime,
        List<String> zones) {
    /** The nominal price per hour of an ordinary or a spot machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** Reads the answer to {@code GET /catalog}. */
    public static List<MachineType> parseCatalog(JsonNode body) throws MalformedMessageException {
        JsonNode rows = body.get("hulls");
        if (rows == null || !rows.isArray()) {
            throw new MalformedMessageException("hulls must be a list");
        }
        var types = new ArrayList<MachineType>();
        for (JsonNode row : rows) {
            var f = new Submission.Fields(row);
            types.add(new MachineType(
                    f.text("name", 200),
                    new Resources(f.amount("vcpus"), f.amount("accelerators"), f.amount("ramGb")),
                    f.amount("cacheGb"),
                    f.amount("fetchGbPerS"),
                    f.amount("hourly"),
                    f.amount("lowPrice"),
                    f.seconds("readyS"),
                    f.optionalTexts("dunes", 64).orElse(List.of())));
        }
        return List.copyOf(types);
    }
}
