package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A worker's heartbeat, which reports the state of its machine and tasks.
 *
 * @param agentEpoch the agent's incarnation, which rises whenever the worker has discarded its tasks, as after a lease expiry
 * @param sequence rises with each heartbeat of one agent epoch
 * @param token the highest fencing token that the worker has seen
 * @param interruptionNotice the time until the spot machine is interrupted, if the cloud has announced it
 */
public record WorkerHeartbeat(
        String machineId,
        String address,
        String type,
        String zone,
        boolean spot,
        long agentEpoch,
        long sequence,
        long token,
        Optional<Duration> interruptionNotice,
        List<TaskStatus> tasks) {
    /** Whether this heartbeat is newer than another of the same worker. */
    public boolean newerThan(WorkerHeartbeat other) {
        return agentEpoch != other.agentEpoch ? agentEpoch > other.agentEpoch : sequence > other.sequence;
    }

    /**
     * Whether it reports the same state as another of the same worker. Most heartbeats do: they only show that the machine is alive. The
     * remaining time of an interruption notice is not compared.
     */
    public boolean hasSameStateAs(WorkerHeartbeat other) {
        return agentEpoch == other.agentEpoch
                && token == other.token
                && interruptionNotice.isPresent() == other.interruptionNotice.isPresent()
                && address.equals(other.address)
                && tasks.equals(other.tasks);
    }

    /** The status of one attempt of a task, if the worker reports it. */
    public Optional<TaskStatus> find(TaskId task, long attempt) {
        for (TaskStatus status : tasks) {
            if (status.attempt() == attempt && status.task().equals(task)) {
                return Optional.of(status);
            }
        }
        return Optional.empty();
    }

    /** Reads and validates a heartbeat; the exception names the field that is missing or invalid. */
    public static WorkerHeartbeat parse(JsonNode body) throws MalformedMessageException {
        if (!body.isObject()) {
            throw new MalformedMessageException("the body is not a map");
        }
        var f = new Submission.Fields(body);
        JsonNode listed = body.get("pieces");
        var tasks = new ArrayList<TaskStatus>();
        if (listed != null && !listed.isNull()) {
            if (!listed.isArray()) {
                throw f.invalid("pieces", "a list");
            }
            for (JsonNode row : listed) {
                tasks.add(parseStatus(row));
            }
        }
        return new WorkerHeartbeat(
                f.text("host", 200),
                f.text("address", 200),
                f.text("hull", 200),
                f.text("dune", 200),
                body.path("driftwood").asBoolean(false),
                f.whole("tenure", 0, Long.MAX_VALUE),
                f.whole("tick", 0, Long.MAX_VALUE),
                f.whole("baton", 0, Long.MAX_VALUE),
                f.optionalSeconds("warningS"),
                List.copyOf(tasks));
    }

    private static TaskStatus parseStatus(JsonNode row) throws MalformedMessageException {
        if (!row.isObject()) {
            throw MalformedMessageException.invalid("each item of pieces", "a map", row);
        }
        var f = new Submission.Fields(row);
        TaskId id = TaskId.parse(f.text("piece", 200))
                .orElseThrow(() -> f.invalid("piece", "a job's id, a slash and a task's index, such as wk-000412/3"));
        TaskPhase phase = TaskPhase.parse(f.text("phase", 32))
                .orElseThrow(() -> f.invalid("phase", "pulling, gathering, running, saving or exited"));
        Optional<ExitCause> cause = phase == TaskPhase.EXITED
                ? Optional.of(ExitCause.parse(row.path("cause").asText("")))
                : Optional.empty();
        return new TaskStatus(
                id,
                f.whole("try", 0, Long.MAX_VALUE),
                phase,
                cause,
                row.path("saved").asBoolean(false));
    }
}
