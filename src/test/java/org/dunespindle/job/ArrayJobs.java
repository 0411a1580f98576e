package org.dunespindle.job;

import java.time.Duration;
import java.time.Instant;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;

/** Creates job records of arrays for tests. */
final class ArrayJobs {
    private ArrayJobs() {}

    /** An accepted array without allocations. */
    static JobRecord array(int tasks) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-000001")
                        .priority(Priority.LOW)
                        .tasks(tasks)
                        .perTask(new Resources(0.25, 0, 1))
                        .spot(true)
                        .imageGb(2)
                        .estimate(Duration.ofSeconds(4))
                        .build(),
                Instant.EPOCH);
    }
}
