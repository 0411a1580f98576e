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

/** The gRPC server for requests of other cells, on a separate port. Requests are handled on the controller's event loop. */
public final class GrpcCellServer implements AutoCloseable {
    private static final int MAX_CALLS_IN_PROGRESS = 64;
    private static final int MAX_CALLS_PER_CONNECTION = 16;
    private static final long KEEP_ALIVE_S = 20;
    private static final long KEEP_ALIVE_TIMEOUT_S = 5;
    private static final long MIN_KEEP_ALIVE_S = 5;
    private static final int SHUTDOWN_TIMEOUT_MILLIS = 200;

    private final Server server;
    private final Executor eventLoop;
    private final BiConsumer<CellRequest, Consumer<CellReply>> handler;
    private final AtomicInteger callsInProgress = new AtomicInteger();

    /**
     * Binds the port and starts serving.
     *
     * @param eventLoop the controller's event loop
     * @param handler handles a request and passes its reply on, immediately or later
     */
    public GrpcCellServer(
            InetSocketAddress address,
            EventLoopGroup group,
            Executor eventLoop,
            BiConsumer<CellRequest, Consumer<CellReply>> handler)
            throws IOException {
        this.eventLoop = eventLoop;
        this.handler = handler;
        this.server = NettyServerBuilder.forAddress(address)
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .channelType(NioServerSocketChannel.class)
                .directExecutor()
                .maxInboundMessageSize(CellMethods.MAX_MESSAGE_BYTES)
                .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .permitKeepAliveTime(MIN_KEEP_ALIVE_S, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .addService(service())
                .build()
                .start();
    }

    private ServerServiceDefinition service() {
        var descriptor = ServiceDescriptor.newBuilder(CellMethods.SERVICE);
        CellMethods.descriptors().forEach(descriptor::addMethod);
        var definition = ServerServiceDefinition.builder(descriptor.build());
        CellMethods.byRequestType().forEach((requestType, method) -> addMethod(definition, requestType, method));
        return definition.build();
    }

    private void addMethod(
            ServerServiceDefinition.Builder definition,
            Class<? extends CellRequest> requestType,
            MethodDescriptor<byte[], byte[]> method) {
        definition.addMethod(
                method, ServerCalls.asyncUnaryCall((body, observer) -> serve(requestType, body, observer)));
    }

    private void serve(Class<? extends CellRequest> requestType, byte[] body, StreamObserver<byte[]> observer) {
        CellRequest request;
        try {
            request = CellMessageCodec.readRequest(body);
        } catch (MalformedMessageException e) {
            fail(observer, Status.INVALID_ARGUMENT, e.getMessage());
            return;
        }
        if (!requestType.isInstance(request)) {
            fail(observer, Status.INVALID_ARGUMENT, "the message is a request of another method");
        } else if (callsInProgress.incrementAndGet() > MAX_CALLS_IN_PROGRESS) {
            callsInProgress.decrementAndGet();
            fail(
                    observer,
                    Status.RESOURCE_EXHAUSTED,
                    "too many calls in progress, at most " + MAX_CALLS_IN_PROGRESS + " are allowed");
        } else {
            eventLoop.execute(() -> handle(request, observer));
        }
    }

    private void handle(CellRequest request, StreamObserver<byte[]> observer) {
        try {
            handler.accept(request, reply -> {
                callsInProgress.decrementAndGet();
                reply(observer, reply);
            });
        } catch (RuntimeException e) {
            callsInProgress.decrementAndGet();
            fail(observer, Status.INTERNAL, "the request failed with an internal error");
        }
    }

    private static void reply(StreamObserver<byte[]> observer, CellReply reply) {
        try {
            observer.onNext(CellMessageCodec.write(reply));
            observer.onCompleted();
        } catch (IllegalStateException | io.grpc.StatusRuntimeException e) {
            return; // the caller has cancelled the call; the stored effect remains
        }
    }

    private static void fail(StreamObserver<byte[]> observer, Status status, String reason) {
        observer.onError(status.withDescription(reason).asRuntimeException());
    }

    /** The bound port. */
    public int port() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
        try {
            server.awaitTermination(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
