package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** When listed machines without a stored record are adopted. */
class CloudInventoryTest {
    private static final Duration MIN_LEAD = Duration.ofSeconds(12);

    @Test
    void newLeaderWaitsUntilTheListCannotNameTerminatedMachines() {
        Duration since = Duration.ofSeconds(100);
        assertFalse(CloudInventory.hasLedFor(
                MIN_LEAD, Optional.of(since), since.plus(MIN_LEAD).minusMillis(1)));
        assertTrue(CloudInventory.hasLedFor(MIN_LEAD, Optional.of(since), since.plus(MIN_LEAD)));
    }

    /** A list requested in an earlier term may arrive while this controller is not the leader; the earlier term does not count. */
    @Test
    void controllerThatDoesNotLeadNeverAdopts() {
        assertFalse(CloudInventory.hasLedFor(MIN_LEAD, Optional.empty(), Duration.ofDays(1)));
    }
}
