package org.dunespindle.federation.grpc;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.dunespindle.federation.CellCallException;
import org.dunespindle.federation.CellMessageCodec;
import org.dunespindle.federation.CellReply;
import org.dunespindle.federation.CellRequest;
import org.dunespindle.federation.CellTransport;
import org.dunespindle.protocol.MalformedMessageException;

/** Sends requests over gRPC, with one keep-alive channel for each remote controller. Used only on the controller's event loop. */
public final class GrpcCellTransport implements CellTransport, AutoCloseable {
    private static final long KEEP_ALIVE_S = 10;
    private static final long KEEP_ALIVE_TIMEOUT_S = 5;
    private static final long IDLE_MINUTES = 5;

    private final EventLoopGroup group;
    private final Executor eventLoop;
    private final Map<String, ManagedChannel> channels = new HashMap<>();

    /** Creates a transport that completes its futures on the given executor, the controller's event loop. */
    public GrpcCellTransport(EventLoopGroup group, Executor eventLoop) {
        this.group = group;
        this.eventLoop = eventLoop;
    }

    @Override
    public CompletableFuture<CellReply> call(String address, CellRequest request, Duration deadline) {
        var result = new CompletableFuture<CellReply>();
        CallOptions options = CallOptions.DEFAULT
                .withDeadlineAfter(deadline.toNanos(), TimeUnit.NANOSECONDS)
                .withMaxInboundMessageSize(CellMethods.MAX_MESSAGE_BYTES)
                .withMaxOutboundMessageSize(CellMethods.MAX_MESSAGE_BYTES);
        var call = channels.computeIfAbsent(address, this::open).newCall(CellMethods.of(request), options);
        ClientCalls.asyncUnaryCall(call, CellMessageCodec.write(request), new ReplyObserver(result));
        return result;
    }

    private ManagedChannel open(String address) {
        int colon = address.lastIndexOf(':');
        var target = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        return NettyChannelBuilder.forAddress(target)
                .eventLoopGroup(group)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .usePlaintext()
                .disableRetry()
                .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
                .maxInboundMessageSize(CellMethods.MAX_MESSAGE_BYTES)
                .build();
    }

    /** Passes every outcome to the controller's event loop, because gRPC reports expired deadlines on another thread. */
    private final class ReplyObserver implements StreamObserver<byte[]> {
        private final CompletableFuture<CellReply> result;

        ReplyObserver(CompletableFuture<CellReply> result) {
            this.result = result;
        }

        @Override
        public void onNext(byte[] body) {
            eventLoop.execute(() -> {
                try {
                    result.complete(CellMessageCodec.readReply(body));
                } catch (MalformedMessageException e) {
                    result.completeExceptionally(new CellCallException("malformed reply: " + e.getMessage()));
                }
            });
        }

        @Override
        public void onError(Throwable failure) {
            String status = Status.fromThrowable(failure).getCode().name();
            eventLoop.execute(() -> result.completeExceptionally(new CellCallException(status)));
        }

        @Override
        public void onCompleted() {
            eventLoop.execute(() -> result.completeExceptionally(new CellCallException("no reply")));
        }
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }
}
