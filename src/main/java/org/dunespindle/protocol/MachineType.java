package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A rentable machine type from the cloud's catalog. */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        Duration boot,
        List<String> zones) {
    /** The nominal price per hour of an ordinary or a spot machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** Reads {@code GET /catalog}. */
    public static List<MachineType> parseCatalog(JsonNode body) throws MalformedMessageException {
        JsonNode hulls = body.get("hulls");
        if (hulls == null || !hulls.isArray()) {
            throw new MalformedMessageException("hulls is missing");
        }
        var types = new ArrayList<MachineType>();
        for (JsonNode h : hulls) {
            var f = new Submission.Fields(h);
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
