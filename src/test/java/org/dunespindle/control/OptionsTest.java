package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Names, defaults, ranges and validation of the operators' options, as the administration API lists them. */
class OptionsTest {
    private static final Duration LEASE = Duration.ofSeconds(10);

    private static String validationError(String name, String value) {
        return Options.validate(name, StateServiceStub.json(value)).orElse("");
    }

    @Test
    void namesDefaultsAndRangesAreListedInOrder() {
        List<String> listed = new ArrayList<>();
        for (JsonNode option : Options.defaults(LEASE).describe()) {
            listed.add(String.join(
                    " ",
                    option.path("name").asText(),
                    option.path("value").toString(),
                    option.path("default").toString(),
                    option.path("least").toString(),
                    option.path("most").toString(),
                    option.path("type").asText()));
        }
        assertEquals(
                List.of(
                        "first_hold_timer_s 60.0 60.0 5.0 3600.0 number",
                        "idle_return_s 25.0 25.0 0.0 86400.0 number",
                        "idle_spot_return_s 60.0 60.0 0.0 86400.0 number",
                        "silent_return_s 10.0 10.0 3.0 3600.0 number",
                        "quarantine_errors 2.0 2.0 1.0 100.0 whole number",
                        "boot_patience 3.0 3.0 1.0 20.0 whole number",
                        "spare_jobs 1.0 1.0 0.0 10.0 whole number",
                        "borrowed_machines 100000.0 100000.0 0.0 100000.0 whole number",
                        "lent_s 60.0 60.0 0.0 86400.0 number",
                        "spill_after_s 30.0 30.0 1.0 86400.0 number",
                        "recall_after_s 60.0 60.0 5.0 86400.0 number",
                        "spill_pause_s 30.0 30.0 1.0 3600.0 number",
                        "most_transfers 3.0 3.0 1.0 20.0 whole number",
                        "most_visitors 200.0 200.0 0.0 10000.0 whole number"),
                listed);
    }

    @Test
    void theFailureTimeoutIsTheWorkersLeaseUpToAMaximum() {
        assertEquals(
                Duration.ofSeconds(12), Options.defaults(Duration.ofSeconds(12)).failureTimeout());
        assertEquals(
                Duration.ofSeconds(16), Options.defaults(Duration.ofSeconds(40)).failureTimeout());
    }

    @Test
    void anInvalidValueIsRejectedWithTheAllowedRange() {
        assertEquals("idle_return_s must be a number from 0 to 86400", validationError("idle_return_s", "-1"));
        assertEquals("idle_return_s must be a number from 0 to 86400", validationError("idle_return_s", "\"5\""));
        assertEquals("spare_jobs must be a whole number from 0 to 10", validationError("spare_jobs", "1.5"));
        assertEquals("", validationError("idle_return_s", "1.5"));
        assertEquals(
                "unknown option nonsense; there are first_hold_timer_s, idle_return_s, idle_spot_return_s,"
                        + " silent_return_s, quarantine_errors, boot_patience, spare_jobs, borrowed_machines, lent_s,"
                        + " spill_after_s, recall_after_s, spill_pause_s, most_transfers, most_visitors",
                validationError("nonsense", "1"));
    }

    @Test
    void aStoredValueOutOfRangeIsIgnored() {
        JsonNode stored = StateServiceStub.json("{\"idle_return_s\":90000,\"spare_jobs\":3}");
        Options options = Options.of(Optional.of(stored), LEASE);
        assertEquals(Duration.ofSeconds(25), options.idleTimeout(false));
        assertEquals(3, options.spareJobs());
    }
}
