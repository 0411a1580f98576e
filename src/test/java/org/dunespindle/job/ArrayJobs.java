package org.dunespindle.job;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Records of arrays for tests. */
final class ArrayJobs {
    private ArrayJobs() {}

    /** An accepted array without any allocation. */
    static JobRecord array(int tasks) {
        return JobRecord.accepted(
                new Submission(
                        "wk-000001",
                        "class",
                        "red",
                        JobKind.ARRAY,
                        Priority.LOW,
                        tasks,
                        new Resources(0.25, 0, 1),
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        false,
                        true,
                        "image",
                        2,
                        Duration.ofSeconds(4),
                        Duration.ZERO,
                        Duration.ZERO,
                        Optional.empty()),
                Instant.EPOCH);
    }
}
