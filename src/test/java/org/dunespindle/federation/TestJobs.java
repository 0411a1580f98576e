package org.dunespindle.federation;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;

/** Jobs for tests of the federation's parts. */
final class TestJobs {
    private TestJobs() {}

    static Submission array(String id, int tasks) {
        return of(id, JobKind.ARRAY, Priority.NORMAL, tasks, Optional.empty(), false);
    }

    static Submission gang(String id, Priority priority, int tasks, boolean sameZone) {
        return of(id, JobKind.GANG, priority, tasks, Optional.empty(), sameZone);
    }

    static Submission of(
            String id, JobKind shape, Priority priority, int tasks, Optional<List<String>> types, boolean sameZone) {
        return new Submission(
                id,
                "class",
                "red",
                shape,
                priority,
                tasks,
                new Resources(1, 1, 1),
                types,
                Optional.empty(),
                sameZone,
                false,
                false,
                "image",
                1,
                Duration.ofSeconds(20),
                Duration.ZERO,
                Duration.ZERO,
                Optional.empty());
    }
}
