package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** A command to a worker. */
public sealed interface WorkerCommand permits WorkerCommand.Run, WorkerCommand.Halt, WorkerCommand.Forget {
    /** The task that the command is about. */
    TaskId task();

    /** The attempt that the command is about. */
    long attempt();

    /** Starts a task; without effect while the worker holds this attempt in any state. */
    record Run(TaskId task, long attempt) implements WorkerCommand {}

    /** Stops a task, which may save if the grace allows. */
    record Halt(TaskId task, long attempt, Duration grace) implements WorkerCommand {}

    /** Drops an exited task from the reports. */
    record Forget(TaskId task, long attempt) implements WorkerCommand {}

    /** The body of an answer that sends a worker to another controller. */
    static ObjectNode redirect(String controller) {
        return MessagePackCodec.map().put("steward", controller);
    }

    /** The body of a direct command. */
    static ObjectNode command(long token, long session, List<WorkerCommand> commands) {
        return reply(token, commands).put("tenure", session);
    }

    /** The body of the answer to a report. */
    static ObjectNode reply(long token, List<WorkerCommand> commands) {
        ObjectNode n = MessagePackCodec.map().put("baton", token);
        ArrayNode list = n.putArray("orders");
        for (WorkerCommand o : commands) {
            ObjectNode c = list.addObject();
            if (o instanceof Run) {
                c.put("verb", "run");
            } else if (o instanceof Halt h) {
                c.put("verb", "halt").put("lingerS", Submission.Fields.inSeconds(h.grace()));
            } else {
                c.put("verb", "forget");
            }
            c.put("piece", o.task().toString()).put("try", o.attempt());
        }
        return n;
    }
}
