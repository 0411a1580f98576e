package org.dunespindle.federation;

import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;

/** Submissions for the tests of the federation. */
final class TestJobs {
    private TestJobs() {}

    static Submission array(String id, int tasks) {
        return of(id, JobKind.ARRAY, Priority.NORMAL, tasks, Optional.empty(), false);
    }

    static Submission gang(String id, Priority priority, int tasks, boolean sameZone) {
        return of(id, JobKind.GANG, priority, tasks, Optional.empty(), sameZone);
    }

    static Submission of(
            String id, JobKind kind, Priority priority, int tasks, Optional<List<String>> types, boolean sameZone) {
        return SubmissionBuilder.submission(id)
                .kind(kind)
                .priority(priority)
                .tasks(tasks)
                .types(types)
                .sameZone(sameZone)
                .build();
    }
}
