package org.dunespindle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dunespindle.api.AdminApi;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.api.UserApi;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.HttpServerRequest;
import org.dunespindle.transport.HttpServerResponse;
import org.dunespindle.transport.NettyHttpClient;
import org.dunespindle.transport.NettyHttpServer;

/** Ties a controller to its listeners. One event loop does everything, so nothing needs a lock. */
public final class Daemon implements AutoCloseable {
    private static final int BODY_LIMIT = 64 << 10;
    private static final int PEER_BODY_LIMIT = 1 << 20;
    /** Workers keep a connection each to this controller; idle ones to them may take this part of the sockets. */
    private static final int KEPT_PART = 10;

    private static final String JSON = "application/json";
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ConnectionBudget connections;
    private final Controller controller;
    private final Optional<Extension> extension;
    private final Channel front;
    private final Channel peer;
    /** Written by the event loop, read by whoever waits for the end. */
    private volatile String whyEnded;

    /** A part that a features file switches on, as the daemon needs it. */
    public interface Extension extends AutoCloseable {
        /** The stored forms that the controller announces with it. */
        FormatSupport formats();

        /** Links a controller to other cells; called once, before the controller starts. */
        JobDelegation connect(DelegationContext context, NioEventLoopGroup group);

        @Override
        void close();
    }

    /** Binds the listeners and starts the controller, without any feature. */
    public Daemon(Settings settings) throws InterruptedException {
        this(settings, Optional.empty());
    }

    /** Binds the listeners and starts the controller. */
    public Daemon(Settings settings, Optional<Extension> extension) throws InterruptedException {
        this.extension = extension;
        connections = new ConnectionBudget(settings.sockets());
        EventLoop loop = group.next();
        var timeline = new LoopTimeline(loop);
        controller = new Controller(
                settings,
                new NettyHttpClient(loop, settings.sockets() / KEPT_PART, connections),
                timeline,
                extension.map(Extension::formats).orElse(FormatSupport.STANDARD),
                this::end,
                context -> extension.map(part -> part.connect(context, group)).orElse(JobDelegation.NONE));
        front = NettyHttpServer.open(
                group,
                settings.front(),
                BODY_LIMIT,
                this::front,
                status -> packed(status, MessagePackCodec.map().put("error", refusal(status)), Optional.empty()),
                connections);
        peer = NettyHttpServer.open(
                group,
                settings.peerListen(),
                PEER_BODY_LIMIT,
                this::peer,
                status -> json(status, MessagePackCodec.map().put("error", refusal(status))),
                connections);
        loop.execute(controller::start);
    }

    /** Time as the event loop keeps it. */
    private record LoopTimeline(EventLoop loop, long origin) implements TimeSource {
        LoopTimeline(EventLoop loop) {
            this(loop, System.nanoTime());
        }

        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime() - origin);
        }

        @Override
        public Instant wallTime() {
            return Instant.now();
        }

        @Override
        public void schedule(Duration delay, Runnable work) {
            loop.schedule(work, delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Where users and workers reach this controller. */
    public InetSocketAddress frontAddress() {
        return (InetSocketAddress) front.localAddress();
    }

    /** Where other controllers and administrators reach it. */
    public InetSocketAddress peerAddress() {
        return (InetSocketAddress) peer.localAddress();
    }

    /** Blocks until the process is told to end; fails if the controller itself cannot go on. */
    public void awaitEnd() throws InterruptedException {
        front.closeFuture().sync();
        if (whyEnded != null) {
            throw new IllegalStateException(whyEnded);
        }
    }

    private void end(String why) {
        whyEnded = why;
        front.close();
    }

    @Override
    public void close() {
        extension.ifPresent(Extension::close);
        front.close();
        peer.close();
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }

    private static String refusal(int status) {
        return switch (status) {
            case 413 -> "the body is longer than 64 KiB";
            case 500 -> "the service failed at this request";
            default -> "the request is malformed";
        };
    }

    private static HttpServerResponse packed(int status, ObjectNode body, Optional<Duration> retryAfter) {
        return new HttpServerResponse(status, MessagePackCodec.TYPE, MessagePackCodec.write(body), retryAfter);
    }

    private static HttpServerResponse json(int status, ObjectNode body) {
        return new HttpServerResponse(status, JSON, AdminApi.write(body), Optional.empty());
    }

    private void front(HttpServerRequest call, Consumer<HttpServerResponse> reply) {
        Consumer<UserApi.Answer> user = a -> reply.accept(packed(a.status(), a.body(), a.retryAfter()));
        String path = call.path();
        if (path.equals("/agent/beat")) {
            only("POST", call, reply, () -> beat(call, reply));
        } else if (path.equals("/healthz")) {
            only("GET", call, reply, () -> {
                boolean well = controller.healthy();
                reply.accept(new HttpServerResponse(
                        well ? 200 : 503,
                        "text/plain",
                        (well ? "ok" : "not ready").getBytes(StandardCharsets.US_ASCII),
                        Optional.empty()));
            });
        } else if (path.equals("/submissions")) {
            only("POST", call, reply, () -> controller.userApi().submit(call.body(), user));
        } else if (path.startsWith("/submissions/")) {
            String rest = path.substring("/submissions/".length());
            if (rest.endsWith("/withdraw")) {
                only(
                        "POST",
                        call,
                        reply,
                        () -> controller
                                .userApi()
                                .cancel(rest.substring(0, rest.length() - "/withdraw".length()), user));
            } else if (rest.indexOf('/') < 0 && !rest.isEmpty()) {
                only("GET", call, reply, () -> controller.userApi().poll(rest, user));
            } else {
                notFound(reply);
            }
        } else {
            notFound(reply);
        }
    }

    private static void notFound(Consumer<HttpServerResponse> reply) {
        reply.accept(packed(404, MessagePackCodec.map().put("error", "no such path"), Optional.empty()));
    }

    private static void only(String method, HttpServerRequest call, Consumer<HttpServerResponse> reply, Runnable work) {
        if (call.method().equals(method)) {
            work.run();
        } else {
            reply.accept(packed(
                    405, MessagePackCodec.map().put("error", call.path() + " takes " + method), Optional.empty()));
        }
    }

    private void beat(HttpServerRequest call, Consumer<HttpServerResponse> reply) {
        try {
            WorkerHeartbeat heartbeat = WorkerHeartbeat.parse(MessagePackCodec.read(call.body()));
            controller.heartbeatHandler().onHeartbeat(heartbeat, answer -> {
                HttpServerResponse whole = packed(answer.status(), answer.body(), Optional.empty());
                reply.accept(connections.scarce() ? whole.andClose() : whole);
            });
        } catch (MalformedMessageException e) {
            reply.accept(packed(400, MessagePackCodec.map().put("error", e.getMessage()), Optional.empty()));
        }
    }

    private void peer(HttpServerRequest call, Consumer<HttpServerResponse> reply) {
        if (call.path().equals("/peer/heartbeat") && call.method().equals("POST")) {
            reply.accept(json(200, controller.heard(call.body())));
        } else {
            controller
                    .admin()
                    .handle(call.method(), call.path(), call.body(), a -> reply.accept(json(a.status(), a.body())));
        }
    }
}
