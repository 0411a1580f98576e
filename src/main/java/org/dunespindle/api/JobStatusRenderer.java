package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.JobRecord;

/** Renders a job's status for its user. */
final class JobStatusRenderer {
    private static final String QUEUED = "queued";
    private static final String RUNNING = "running";

    private final JobDelegation jobDelegation;

    JobStatusRenderer(JobDelegation jobDelegation) {
        this.jobDelegation = jobDelegation;
    }

    /** A job's status; progress reported by a remote cell is rendered with the age of the report. */
    ObjectNode render(JobRecord job) {
        Optional<JobDelegation.RemoteProgress> remote =
                job.isDelegatedAway() ? jobDelegation.progress(job) : Optional.empty();
        return remote.map(progress -> renderRemote(job, progress)).orElseGet(() -> renderLocal(job));
    }

    private static ObjectNode renderRemote(JobRecord job, JobDelegation.RemoteProgress remote) {
        ObjectNode body = progress(job, remote.started() ? RUNNING : QUEUED, remote.done(), remote.running())
                .put("cell", remote.cell())
                .put("ageMs", remote.age().toMillis());
        return withFailures(body, remote.failures());
    }

    private static ObjectNode renderLocal(JobRecord job) {
        String phase = switch (job.outcome()) {
            case DONE -> "done";
            case CANCELLED -> "cancelled";
            case OPEN -> job.runningCount() > 0 ? RUNNING : QUEUED;
        };
        return withFailures(progress(job, phase, job.doneCount(), job.runningCount()), job.failures());
    }

    private static ObjectNode progress(JobRecord job, String phase, int done, int running) {
        return MessagePackCodec.map()
                .put("id", job.id())
                .put("phase", phase)
                .put("done", done)
                .put("running", running);
    }

    private static ObjectNode withFailures(ObjectNode body, int failures) {
        return failures > 0 ? body.put("failures", failures) : body;
    }
}
