package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A worker's report; {@code token} is the highest fencing token it has seen. */
public record WorkerHeartbeat(
        String machineId,
        String address,
        String type,
        String zone,
        boolean spot,
        long agentEpoch,
        long sequence,
        long token,
        Optional<Duration> notice,
        List<TaskStatus> tasks) {
    /** Whether this report is newer than another of the same worker. */
    public boolean newerThan(WorkerHeartbeat other) {
        return agentEpoch != other.agentEpoch ? agentEpoch > other.agentEpoch : sequence > other.sequence;
    }

    /** Whether it says the same as another but for its number: most reports only say that the machine lives. */
    public boolean sameAs(WorkerHeartbeat other) {
        return agentEpoch == other.agentEpoch
                && token == other.token
                && notice.isPresent() == other.notice.isPresent()
                && address.equals(other.address)
                && tasks.equals(other.tasks);
    }

    /** The status of one attempt of a task, if the worker knows it. */
    public Optional<TaskStatus> find(TaskId task, long attempt) {
        for (TaskStatus t : tasks) {
            if (t.attempt() == attempt && t.task().equals(task)) {
                return Optional.of(t);
            }
        }
        return Optional.empty();
    }

    /** Reads a report. */
    public static WorkerHeartbeat parse(JsonNode n) throws MalformedMessageException {
        if (!n.isObject()) {
            throw new MalformedMessageException("the body is not a map");
        }
        var f = new Submission.Fields(n);
        JsonNode listed = n.get("pieces");
        var tasks = new ArrayList<TaskStatus>();
        if (listed != null && !listed.isNull()) {
            if (!listed.isArray()) {
                throw new MalformedMessageException("pieces must be a list");
            }
            for (JsonNode p : listed) {
                tasks.add(status(p));
            }
        }
        return new WorkerHeartbeat(
                f.text("host", 200),
                f.text("address", 200),
                f.text("hull", 200),
                f.text("dune", 200),
                n.path("driftwood").asBoolean(false),
                f.whole("tenure", 0, Long.MAX_VALUE),
                f.whole("tick", 0, Long.MAX_VALUE),
                f.whole("baton", 0, Long.MAX_VALUE),
                f.optionalSeconds("warningS"),
                List.copyOf(tasks));
    }

    private static TaskStatus status(JsonNode p) throws MalformedMessageException {
        if (!p.isObject()) {
            throw new MalformedMessageException("pieces must hold maps");
        }
        var f = new Submission.Fields(p);
        TaskId id = TaskId.parse(f.text("piece", 200))
                .orElseThrow(() -> new MalformedMessageException("piece must be a task's name"));
        TaskPhase phase = TaskPhase.parse(f.text("phase", 32))
                .orElseThrow(() -> new MalformedMessageException("phase is unknown"));
        Optional<ExitCause> cause = phase == TaskPhase.EXITED
                ? Optional.of(ExitCause.parse(p.path("cause").asText("")))
                : Optional.empty();
        return new TaskStatus(
                id,
                f.whole("try", 0, Long.MAX_VALUE),
                phase,
                cause,
                p.path("saved").asBoolean(false));
    }
}
