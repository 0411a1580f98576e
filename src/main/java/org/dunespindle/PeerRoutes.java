package org.dunespindle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.JsonCodec;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.transport.HttpServerRequest;
import org.dunespindle.transport.HttpServerResponse;
import org.dunespindle.transport.HttpStatus;

/** Routes the requests of other controllers and of operators; bodies are JSON. */
final class PeerRoutes {
    private static final String JSON = "application/json";
    private static final String HEARTBEAT = "/peer/heartbeat";

    private final Controller controller;

    PeerRoutes(Controller controller) {
        this.controller = controller;
    }

    /** Handles one request. */
    void handle(HttpServerRequest request, Consumer<HttpServerResponse> reply) {
        if (request.path().equals(HEARTBEAT) && request.method().equals("POST")) {
            reply.accept(encode(HttpStatus.OK, controller.onPeerHeartbeat(request.body())));
        } else {
            controller
                    .adminApi()
                    .handle(
                            request.method(),
                            request.path(),
                            request.body(),
                            answer -> reply.accept(encode(answer.status(), answer.body())));
        }
    }

    /** The response to a request that the listener rejected before routing, or whose handler failed. */
    static HttpServerResponse errorResponse(int status) {
        return encode(status, MessagePackCodec.map().put("error", FrontRoutes.errorText(status)));
    }

    private static HttpServerResponse encode(int status, ObjectNode body) {
        return new HttpServerResponse(status, JSON, JsonCodec.write(body), Optional.empty());
    }
}
