package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** A command to a worker. */
public sealed interface WorkerCommand permits WorkerCommand.Run, WorkerCommand.Halt, WorkerCommand.Forget {
    /** The task that the command applies to. */
    TaskId task();

    /** The attempt that the command applies to. */
    long attempt();

    /** Starts a task; has no effect while the worker lists this attempt in any phase. */
    record Run(TaskId task, long attempt) implements WorkerCommand {}

    /** Stops a task, which may write a checkpoint within the grace period. */
    record Halt(TaskId task, long attempt, Duration grace) implements WorkerCommand {}

    /** Removes an exited task from the worker's heartbeats. */
    record Forget(TaskId task, long attempt) implements WorkerCommand {}

    /** The body of an answer that redirects a worker to another controller. */
    static ObjectNode redirect(String controller) {
        return MessagePackCodec.map().put("steward", controller);
    }

    /** The body of commands sent to a worker outside its heartbeats; the worker rejects them if its agent epoch differs. */
    static ObjectNode command(long token, long agentEpoch, List<WorkerCommand> commands) {
        return reply(token, commands).put("tenure", agentEpoch);
    }

    /** The body of the answer to a heartbeat. */
    static ObjectNode reply(long token, List<WorkerCommand> commands) {
        ObjectNode body = MessagePackCodec.map().put("baton", token);
        ArrayNode list = body.putArray("orders");
        for (WorkerCommand command : commands) {
            ObjectNode row = list.addObject();
            if (command instanceof Run) {
                row.put("verb", "run");
            } else if (command instanceof Halt halt) {
                row.put("verb", "halt").put("lingerS", Submission.Fields.inSeconds(halt.grace()));
            } else {
                row.put("verb", "forget");
            }
            row.put("piece", command.task().toString()).put("try", command.attempt());
        }
        return body;
    }
}
