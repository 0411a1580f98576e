package org.dunespindle.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.transport.HttpStatus;

/** The reply to a worker's heartbeat. */
public sealed interface HeartbeatReply {
    /** The HTTP status that the reply is sent with. */
    int status();

    /** Encodes the body of the reply. */
    ObjectNode body();

    /** Renews the worker's lease under a fencing token and carries commands. */
    record Commands(long token, List<WorkerCommand> commands) implements HeartbeatReply {
        @Override
        public int status() {
            return HttpStatus.OK;
        }

        @Override
        public ObjectNode body() {
            return WorkerCommand.reply(token, commands);
        }
    }

    /** Redirects the worker to the controller that owns its machine. */
    record Redirect(String controller) implements HeartbeatReply {
        @Override
        public int status() {
            return HttpStatus.MISDIRECTED;
        }

        @Override
        public ObjectNode body() {
            return WorkerCommand.redirect(controller);
        }
    }

    /** Rejects the heartbeat: the lease is not renewed, and no other controller is named. */
    record Unavailable(String error) implements HeartbeatReply {
        @Override
        public int status() {
            return HttpStatus.SERVICE_UNAVAILABLE;
        }

        @Override
        public ObjectNode body() {
            return MessagePackCodec.map().put("error", error);
        }
    }
}
