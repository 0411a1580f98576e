package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** A command to a worker. */
public sealed interface Order permits Order.Run, Order.Halt, Order.Forget {
    PieceId task();

    long attempt();

    /** Starts a task; without effect while the worker holds this attempt in any state. */
    record Run(PieceId task, long attempt) implements Order {}

    /** Stops a task, which may save if the grace allows. */
    record Halt(PieceId task, long attempt, Duration grace) implements Order {}

    /** Drops an exited task from the reports. */
    record Forget(PieceId task, long attempt) implements Order {}

    /** The body of a direct command. */
    static ObjectNode command(long token, long session, List<Order> orders) {
        return reply(token, orders).put("tenure", session);
    }

    /** The body of the answer to a report. */
    static ObjectNode reply(long token, List<Order> orders) {
        ObjectNode n = Pack.map().put("baton", token);
        ArrayNode list = n.putArray("orders");
        for (Order o : orders) {
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
