package org.dunespindle.federation.grpc;

import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.ServiceDescriptor;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.dunespindle.federation.CellMessageCodec;
import org.dunespindle.federation.CellReply;
import org.dunespindle.federation.CellRequest;
import org.dunespindle.protocol.MalformedMessageException;

/** The gRPC server for requests of other cells, on a port of its own. Requests are handled on the controller's event loop. */
public final class GrpcCellServer implements AutoCloseable {
    private static final int MOST_UNDER_WAY = 64;
    private static final int MOST_CALLS_PER_CONNECTION = 16;
    private static final long KEEP_ALIVE_S = 20;
    private static final long KEEP_ALIVE_TIMEOUT_S = 5;
    private static final long LEAST_KEEP_ALIVE_S = 5;
    private static final int SHUTDOWN_MILLIS = 200;

    private final Server server;
    private final Executor controller;
    private final BiConsumer<CellRequest, Consumer<CellReply>> handler;
    private final AtomicInteger underWay = new AtomicInteger();

    /**
     * Binds the port and starts serving.
     *
     * @param controller the controller's event loop
     * @param handler handles a request and passes its reply on, immediately or later
     */
    public GrpcCellServer(
            InetSocketAddress address,
            EventLoopGroup group,
            Executor controller,
            BiConsumer<CellRequest, Consumer<CellReply>> handler)
            throws IOException {
        this.controller = controller;
        this.handler = handler;
        this.server = NettyServerBuilder.forAddress(address)
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .channelType(NioServerSocketChannel.class)
                .directExecutor()
                .maxInboundMessageSize(CellMethods.MOST_BYTES)
                .maxConcurrentCallsPerConnection(MOST_CALLS_PER_CONNECTION)
                .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .permitKeepAliveTime(LEAST_KEEP_ALIVE_S, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .addService(service())
                .build()
                .start();
    }

    private ServerServiceDefinition service() {
        var descriptor = ServiceDescriptor.newBuilder(CellMethods.SERVICE);
        CellMethods.descriptors().forEach(descriptor::addMethod);
        var definition = ServerServiceDefinition.builder(descriptor.build());
        CellMethods.all().forEach((kind, method) -> addMethod(definition, kind, method));
        return definition.build();
    }

    private void addMethod(
            ServerServiceDefinition.Builder definition,
            Class<? extends CellRequest> kind,
            MethodDescriptor<byte[], byte[]> method) {
        definition.addMethod(method, ServerCalls.asyncUnaryCall((body, answer) -> serve(kind, body, answer)));
    }

    private void serve(Class<? extends CellRequest> kind, byte[] body, StreamObserver<byte[]> answer) {
        CellRequest request;
        try {
            request = CellMessageCodec.readRequest(body);
        } catch (MalformedMessageException e) {
            fail(answer, Status.INVALID_ARGUMENT, e.getMessage());
            return;
        }
        if (!kind.isInstance(request)) {
            fail(answer, Status.INVALID_ARGUMENT, "the message is a request of another method");
        } else if (underWay.incrementAndGet() > MOST_UNDER_WAY) {
            underWay.decrementAndGet();
            fail(
                    answer,
                    Status.RESOURCE_EXHAUSTED,
                    "too many calls in progress, at most " + MOST_UNDER_WAY + " are allowed");
        } else {
            controller.execute(() -> handle(request, answer));
        }
    }

    private void handle(CellRequest request, StreamObserver<byte[]> answer) {
        try {
            handler.accept(request, reply -> {
                underWay.decrementAndGet();
                reply(answer, reply);
            });
        } catch (RuntimeException e) {
            underWay.decrementAndGet();
            fail(answer, Status.INTERNAL, "the request failed with an internal error");
        }
    }

    private static void reply(StreamObserver<byte[]> answer, CellReply reply) {
        try {
            answer.onNext(CellMessageCodec.write(reply));
            answer.onCompleted();
        } catch (IllegalStateException | io.grpc.StatusRuntimeException e) {
            return; // the caller has cancelled the call; the stored effect remains
        }
    }

    private static void fail(StreamObserver<byte[]> answer, Status status, String reason) {
        answer.onError(status.withDescription(reason).asRuntimeException());
    }

    /** The bound port. */
    public int port() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
        try {
            server.awaitTermination(SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
