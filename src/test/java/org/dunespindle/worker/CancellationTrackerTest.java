package org.dunespindle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.dunespindle.control.StateServiceStub;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** Cancellations that other controllers report are kept until the replica contains them, and no longer. */
class CancellationTrackerTest {
    private static final JobRecord JOB = JobRecord.accepted(SubmissionBuilder.oneTask("wk-000001"), Instant.EPOCH);

    @Test
    void aCancellationIsDroppedOnlyAfterAReadThatBeganLater() throws MalformedMessageException {
        var service = new StateServiceStub(Map.of());
        var tracker = new CancellationTracker(service.settings, service.replica, service.process);
        tracker.recordAnswer("n1", service.process.now(), List.of(JOB.id()));
        assertTrue(tracker.isCancelled(JOB));
        tracker.prune();
        assertTrue(tracker.isCancelled(JOB), "the last read may have begun before the cancellation was stored");
        service.virtualTime.run(service.virtualTime.now().plusSeconds(2));
        tracker.prune();
        assertFalse(tracker.isCancelled(JOB));
        assertEquals(List.of(JOB.id()), tracker.recordAnswer("n1", service.process.now(), List.of(JOB.id())));
    }
}
