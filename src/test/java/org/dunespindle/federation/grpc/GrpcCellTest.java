package org.dunespindle.federation.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.dunespindle.federation.CellCallException;
import org.dunespindle.federation.CellId;
import org.dunespindle.federation.CellReply;
import org.dunespindle.federation.CellRequest;
import org.dunespindle.federation.Transfer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests between cells over gRPC: replies, deadlines, and malformed input, which must not reach the handler. */
@Timeout(60)
class GrpcCellTest {
    private static final CellId SELF = new CellId("a", "id", 3, "mark");
    private static final Duration DEADLINE = Duration.ofSeconds(20);
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicInteger handled = new AtomicInteger();
    private GrpcCellServer server;
    private GrpcCellTransport transport;
    private ManagedChannel raw;

    @BeforeEach
    void start() throws Exception {
        server = new GrpcCellServer(new InetSocketAddress("127.0.0.1", 0), group, group.next(), this::handle);
        transport = new GrpcCellTransport(group, group.next());
        raw = NettyChannelBuilder.forAddress("127.0.0.1", server.port())
                .usePlaintext()
                .build();
    }

    @AfterEach
    void stop() {
        raw.shutdownNow();
        transport.close();
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void handle(CellRequest request, Consumer<CellReply> reply) {
        handled.incrementAndGet();
        if (request instanceof CellRequest.Hello hello && hello.lowestOpenTransfer() == 13) {
            throw new IllegalStateException("this request makes the handler fail");
        }
        if (!(request instanceof CellRequest.Recall)) { // the handler never replies to a recall
            reply.accept(new CellReply.NotServed(CellReply.Reason.NOT_LEADER, java.util.Optional.of("n2")));
        }
    }

    private CellReply call(CellRequest request, Duration deadline) {
        return transport.call("127.0.0.1:" + server.port(), request, deadline).join();
    }

    @Test
    void aRequestReceivesItsReply() {
        assertEquals(
                new CellReply.NotServed(CellReply.Reason.NOT_LEADER, java.util.Optional.of("n2")),
                call(new CellRequest.Hello(SELF, 5), DEADLINE));
    }

    @Test
    void anExpiredDeadlineFailsTheCall() {
        var recall = new CellRequest.Recall(SELF, "to", new Transfer("wk-000001", 4));
        var failure = assertThrows(CompletionException.class, () -> call(recall, Duration.ofMillis(300)));
        assertTrue(failure.getCause() instanceof CellCallException);
        assertEquals("DEADLINE_EXCEEDED", failure.getCause().getMessage());
        assertTrue(
                call(new CellRequest.Hello(SELF, 5), DEADLINE) instanceof CellReply.NotServed,
                "other calls are not affected");
    }

    @Test
    void anUnreachableAddressFailsTheCall() {
        var failure = assertThrows(
                CompletionException.class,
                () -> transport
                        .call("127.0.0.1:1", new CellRequest.Hello(SELF, 5), DEADLINE)
                        .join());
        assertEquals("UNAVAILABLE", failure.getCause().getMessage());
    }

    private Status rawCall(String method, byte[] body) {
        var byName = CellMethods.descriptors().stream()
                .filter(descriptor -> descriptor.getBareMethodName().equals(method))
                .findFirst()
                .orElseThrow();
        return status(byName, body);
    }

    private Status status(MethodDescriptor<byte[], byte[]> method, byte[] body) {
        try {
            ClientCalls.blockingUnaryCall(
                    raw, method, CallOptions.DEFAULT.withDeadlineAfter(20, TimeUnit.SECONDS), body);
            return Status.OK;
        } catch (StatusRuntimeException e) {
            return e.getStatus();
        }
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void malformedInputReturnsAStatusAndDoesNotReachTheHandler() {
        Status malformed = rawCall("Hello", text("{"));
        assertEquals(Status.Code.INVALID_ARGUMENT, malformed.getCode());
        assertEquals("the message is not JSON", malformed.getDescription());
        Status wrongMethod = rawCall(
                "Offer",
                text("{\"from\":{\"name\":\"a\",\"identity\":\"i\",\"incarnation\":1,\"mark\":\"m\"},"
                        + "\"kind\":\"hello\",\"floor\":1}"));
        assertEquals(Status.Code.INVALID_ARGUMENT, wrongMethod.getCode());
        Status large = rawCall("Offer", new byte[CellMethods.MAX_MESSAGE_BYTES + 1]);
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, large.getCode());
        MethodDescriptor<byte[], byte[]> unknown = CellMethods.descriptors().get(0).toBuilder()
                .setFullMethodName(CellMethods.SERVICE + "/Party")
                .build();
        assertEquals(Status.Code.UNIMPLEMENTED, status(unknown, text("{}")).getCode());
        assertEquals(0, handled.get());
    }

    @Test
    void aHandlerExceptionReturnsInternalWithoutDetails() {
        var failure = assertThrows(CompletionException.class, () -> call(new CellRequest.Hello(SELF, 13), DEADLINE));
        assertEquals("INTERNAL", failure.getCause().getMessage());
        assertTrue(call(new CellRequest.Hello(SELF, 5), DEADLINE) instanceof CellReply.NotServed);
    }
}
