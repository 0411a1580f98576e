package org.dunespindle.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerCommand;

/** The reply to a worker's heartbeat. */
public sealed interface HeartbeatReply {
    /** HTTP status of a reply that renews the lease. */
    int STATUS_OK = 200;
    /** HTTP status of a reply that names another controller. */
    int STATUS_MISDIRECTED = 421;
    /** HTTP status of a reply that does neither. */
    int STATUS_UNAVAILABLE = 503;

    /** The HTTP status that the reply is sent with. */
    int status();

    /** Encodes the body of the reply. */
    ObjectNode body();

    /** Renews the worker's lease under a fencing token and passes it commands. */
    record Commands(long token, List<WorkerCommand> commands) implements HeartbeatReply {
        @Override
        public int status() {
            return STATUS_OK;
        }

        @Override
        public ObjectNode body() {
            return WorkerCommand.reply(token, commands);
        }
    }

    /** Sends the worker to the controller that owns its machine. */
    record Redirect(String controller) implements HeartbeatReply {
        @Override
        public int status() {
            return STATUS_MISDIRECTED;
        }

        @Override
        public ObjectNode body() {
            return WorkerCommand.redirect(controller);
        }
    }

    /** Neither renews the worker's lease nor names another controller. */
    record Unavailable(String error) implements HeartbeatReply {
        @Override
        public int status() {
            return STATUS_UNAVAILABLE;
        }

        @Override
        public ObjectNode body() {
            return MessagePackCodec.map().put("error", error);
        }
    }
}
