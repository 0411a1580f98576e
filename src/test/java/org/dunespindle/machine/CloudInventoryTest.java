package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** When machines are adopted that only the cloud's list names. */
class CloudInventoryTest {
    private static final Duration LEAST = Duration.ofSeconds(12);

    @Test
    void aLeaderWaitsUntilNoListCanNameWhatAnEarlierOneReturned() {
        Duration since = Duration.ofSeconds(100);
        assertFalse(CloudInventory.sure(Optional.of(since), since.plus(LEAST).minusMillis(1), LEAST));
        assertTrue(CloudInventory.sure(Optional.of(since), since.plus(LEAST), LEAST));
    }

    /** A list asked for in an earlier lead may arrive before the new one has begun: time then does not count from the earlier. */
    @Test
    void whoHasNotBegunToLeadIsNeverSure() {
        assertFalse(CloudInventory.sure(Optional.empty(), Duration.ofDays(1), LEAST));
    }
}
