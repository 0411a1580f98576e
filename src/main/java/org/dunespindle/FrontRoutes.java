package org.dunespindle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.UserApi;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.HttpServerRequest;
import org.dunespindle.transport.HttpServerResponse;
import org.dunespindle.transport.HttpStatus;

/** Routes the requests of users, workers and health checks; bodies are MessagePack. */
final class FrontRoutes {
    private static final String HEARTBEAT = "/agent/beat";
    private static final String HEALTH = "/healthz";
    private static final String SUBMISSIONS = "/submissions";
    private static final String SUBMISSION_PREFIX = "/submissions/";
    private static final String CANCEL_SUFFIX = "/withdraw";

    private final Controller controller;
    private final ConnectionBudget connections;

    FrontRoutes(Controller controller, ConnectionBudget connections) {
        this.controller = controller;
        this.connections = connections;
    }

    /** Handles one request. */
    void handle(HttpServerRequest request, Consumer<HttpServerResponse> reply) {
        switch (request.path()) {
            case HEARTBEAT -> requireMethod("POST", request, reply, () -> heartbeat(request, reply));
            case HEALTH -> requireMethod("GET", request, reply, () -> reply.accept(health()));
            case SUBMISSIONS ->
                requireMethod("POST", request, reply, () -> controller.userApi().submit(request.body(), toUser(reply)));
            default -> {
                if (request.path().startsWith(SUBMISSION_PREFIX)) {
                    submission(request, request.path().substring(SUBMISSION_PREFIX.length()), reply);
                } else {
                    notFound(reply);
                }
            }
        }
    }

    /** The response to a request that the listener rejected before routing, or whose handler failed. */
    static HttpServerResponse errorResponse(int status) {
        return error(status, errorText(status));
    }

    private void submission(HttpServerRequest request, String rest, Consumer<HttpServerResponse> reply) {
        if (rest.endsWith(CANCEL_SUFFIX)) {
            String id = rest.substring(0, rest.length() - CANCEL_SUFFIX.length());
            requireMethod("POST", request, reply, () -> controller.userApi().cancel(id, toUser(reply)));
        } else if (rest.indexOf('/') < 0 && !rest.isEmpty()) {
            requireMethod("GET", request, reply, () -> controller.userApi().poll(rest, toUser(reply)));
        } else {
            notFound(reply);
        }
    }

    private HttpServerResponse health() {
        boolean healthy = controller.isHealthy();
        return new HttpServerResponse(
                healthy ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE,
                "text/plain",
                (healthy ? "ok" : "not ready").getBytes(StandardCharsets.US_ASCII),
                Optional.empty());
    }

    private void heartbeat(HttpServerRequest request, Consumer<HttpServerResponse> reply) {
        WorkerHeartbeat heartbeat;
        try {
            heartbeat = WorkerHeartbeat.parse(MessagePackCodec.read(request.body()));
        } catch (MalformedMessageException e) {
            reply.accept(error(HttpStatus.BAD_REQUEST, e.getMessage()));
            return;
        }
        controller.heartbeatHandler().onHeartbeat(heartbeat, answer -> {
            HttpServerResponse response = encode(answer.status(), answer.body(), Optional.empty());
            reply.accept(connections.scarce() ? response.andClose() : response);
        });
    }

    private static Consumer<UserApi.Answer> toUser(Consumer<HttpServerResponse> reply) {
        return answer -> reply.accept(encode(answer.status(), answer.body(), answer.retryAfter()));
    }

    private static void requireMethod(
            String method, HttpServerRequest request, Consumer<HttpServerResponse> reply, Runnable handler) {
        if (request.method().equals(method)) {
            handler.run();
        } else {
            reply.accept(error(
                    HttpStatus.METHOD_NOT_ALLOWED,
                    request.path() + " requires the method " + method + ", not " + request.method()));
        }
    }

    private static void notFound(Consumer<HttpServerResponse> reply) {
        reply.accept(error(HttpStatus.NOT_FOUND, "no such path"));
    }

    private static HttpServerResponse error(int status, String text) {
        return encode(status, MessagePackCodec.map().put("error", text), Optional.empty());
    }

    private static HttpServerResponse encode(int status, ObjectNode body, Optional<Duration> retryAfter) {
        return new HttpServerResponse(status, MessagePackCodec.CONTENT_TYPE, MessagePackCodec.write(body), retryAfter);
    }

    /** The error text for a status with which a listener itself answers. */
    static String errorText(int status) {
        return switch (status) {
            case HttpStatus.CONTENT_TOO_LARGE -> "the body is longer than 64 KiB";
            case HttpStatus.INTERNAL_SERVER_ERROR -> "internal error while handling the request";
            default -> "the request is not valid HTTP";
        };
    }
}
