package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** When machines are adopted that the cloud lists but no record names. */
class CloudInventoryTest {
    private static final Duration MIN_LEAD = Duration.ofSeconds(12);

    @Test
    void newLeaderWaitsUntilTheListCannotNameTerminatedMachines() {
        Duration since = Duration.ofSeconds(100);
        assertFalse(CloudInventory.hasLedFor(
                MIN_LEAD, Optional.of(since), since.plus(MIN_LEAD).minusMillis(1)));
        assertTrue(CloudInventory.hasLedFor(MIN_LEAD, Optional.of(since), since.plus(MIN_LEAD)));
    }

    /** A list requested in an earlier term of leadership may arrive before the new term: time does not count from the earlier one. */
    @Test
    void controllerThatDoesNotLeadNeverAdopts() {
        assertFalse(CloudInventory.hasLedFor(MIN_LEAD, Optional.empty(), Duration.ofDays(1)));
    }
}
