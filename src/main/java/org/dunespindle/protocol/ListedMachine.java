package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * A row of the cloud's machine list. The list lags behind the cloud's actual state.
 *
 * @param age the time since the machine was rented
 */
public record ListedMachine(
        String id, String address, String type, String zone, boolean spot, String phase, Duration age) {
    /** Whether the machine has failed, as opposed to being terminated on request. */
    public boolean failed() {
        return phase.equals("failed");
    }

    /** Reads one row of the cloud's machine list. */
    public static ListedMachine parse(JsonNode n) throws MalformedMessageException {
        var f = new Submission.Fields(n);
        return new ListedMachine(
                f.text("id", 200),
                f.optionalText("address", 200).orElse(""),
                f.text("hull", 200),
                f.text("dune", 200),
                f.flag("driftwood"),
                f.text("phase", 32),
                f.seconds("ageS"));
    }
}
