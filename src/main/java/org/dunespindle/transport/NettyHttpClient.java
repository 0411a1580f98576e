package org.dunespindle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** An HTTP/1.1 client that reuses idle connections, with one request at a time on each. Used on one event loop only. */
public final class NettyHttpClient implements HttpClient {
    /** Pages of the state store have at most 512 KiB. Only a change log may be longer; the stored state is then read in pages instead. */
    private static final int MAX_RESPONSE_BYTES = 2 << 20;

    private static final int MAX_IDLE_PER_ADDRESS = 3;
    private final int maxIdle;
    private final ConnectionBudget connections;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    /** Idle connections by address, the least recently used address first. */
    private final LinkedHashMap<String, ArrayDeque<Channel>> idleByAddress = new LinkedHashMap<>(16, 0.75f, true);

    private int idleCount;

    /**
     * Creates a client on one event loop.
     *
     * @param maxIdle the maximum number of idle connections, since there may be more workers than sockets
     * @param connections counts the client's connections; while they are scarce, none is kept idle
     */
    public NettyHttpClient(EventLoop loop, int maxIdle, ConnectionBudget connections) {
        this.connections = connections;
        this.maxIdle = maxIdle;
        this.loop = loop;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new ResponseAggregator(), new ResponseHandler());
                    }
                });
    }

    @Override
    public CompletableFuture<HttpClientResponse> send(
            String address, String method, String target, byte[] body, String contentType, Duration timeout) {
        var pending = new PendingRequest(address, request(address, method, target, body, contentType));
        pending.deadlineNanos = System.nanoTime() + timeout.toNanos();
        pending.timer = loop.schedule(
                () -> pending.fail("no response within " + timeout.toMillis() + " ms"),
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
        ArrayDeque<Channel> idle = idleByAddress.getOrDefault(address, new ArrayDeque<>());
        Channel channel;
        while ((channel = idle.pollLast()) != null) {
            idleCount--;
            if (channel.isActive()) {
                pending.start(channel);
                return pending.result;
            }
        }
        int colon = address.lastIndexOf(':');
        InetSocketAddress remote;
        try {
            remote = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (RuntimeException e) {
            pending.fail("the address must be address:port, not " + address);
            return pending.result;
        }
        var connecting = bootstrap.connect(remote);
        connections.opened();
        connecting.channel().closeFuture().addListener(closed -> connections.closed());
        pending.connecting = connecting.channel();
        connecting.addListener((io.netty.channel.ChannelFuture f) -> {
            if (!f.isSuccess()) {
                pending.fail("cannot connect to " + address);
            } else if (pending.result.isDone()) {
                f.channel().close();
            } else if (System.nanoTime() - pending.deadlineNanos > 0) {
                // After a pause of this process, the event loop handles connects that finished during the pause before
                // overdue timers. The request is based on outdated state by then, so it is not sent.
                f.channel().close();
                pending.fail("not connected to " + address + " within " + timeout.toMillis() + " ms");
            } else {
                pending.start(f.channel());
            }
        });
        return pending.result;
    }

    /** Closes excess idle connections, those of the least recently used addresses first. */
    private void closeExcessIdle() {
        var oldest = idleByAddress.values().iterator();
        int max = connections.scarce() ? 0 : maxIdle;
        while (idleCount > max && oldest.hasNext()) {
            ArrayDeque<Channel> idle = oldest.next();
            while (!idle.isEmpty() && idleCount > max) {
                idle.pollFirst().close();
                idleCount--;
            }
            if (idle.isEmpty()) {
                oldest.remove();
            }
        }
    }

    private static DefaultFullHttpRequest request(
            String address, String method, String target, byte[] body, String contentType) {
        var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address);
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        return request;
    }

    private final class PendingRequest {
        final String address;
        final DefaultFullHttpRequest request;
        final CompletableFuture<HttpClientResponse> result = new CompletableFuture<>();
        ScheduledFuture<?> timer;
        /** On the clock of {@link System#nanoTime}. */
        long deadlineNanos;

        /** The connection that the request was sent on; null before that. */
        Channel channel;
        /** The connection that was opened for the request; null if an idle one is used. */
        Channel connecting;

        boolean tooLong;

        PendingRequest(String address, DefaultFullHttpRequest request) {
            this.address = address;
            this.request = request;
        }

        void start(Channel c) {
            channel = c;
            c.pipeline().get(ResponseHandler.class).pending = this;
            c.writeAndFlush(request);
        }

        void fail(String reason) {
            timer.cancel(false);
            if (channel != null) {
                channel.close();
            }
            if (connecting != null) {
                connecting.close(); // during a network partition a pending connect would hold its socket for minutes
            }
            result.completeExceptionally(
                    tooLong ? new ResponseTooLongException() : new HttpCallException(reason, channel != null));
        }

        void finish(HttpClientResponse response, boolean keepAlive) {
            timer.cancel(false);
            ArrayDeque<Channel> idle = idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
            if (keepAlive && idle.size() < MAX_IDLE_PER_ADDRESS) {
                idle.addLast(channel);
                idleCount++;
                closeExcessIdle();
            } else {
                channel.close();
            }
            result.complete(response);
        }
    }

    /** Collects complete responses up to the size limit; a longer one fails its request and closes the connection. */
    private static final class ResponseAggregator extends HttpObjectAggregator {
        ResponseAggregator() {
            super(MAX_RESPONSE_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            PendingRequest request = ctx.pipeline().get(ResponseHandler.class).pending;
            if (request != null && !request.result.isDone()) {
                request.tooLong = true;
                request.fail("response too long");
            }
            ctx.close();
        }
    }

    /** Completes the request that is pending on its connection. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private PendingRequest pending;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            PendingRequest request = pending;
            pending = null;
            if (request == null || request.result.isDone()) {
                ctx.close();
            } else if (response.decoderResult().isFailure()) {
                request.fail("response is not valid HTTP");
            } else {
                byte[] body = new byte[response.content().readableBytes()];
                response.content().readBytes(body);
                request.finish(new HttpClientResponse(response.status().code(), body), HttpUtil.isKeepAlive(response));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failPending("connection closed before a complete response");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
            failPending("connection failed: " + cause.getMessage());
        }

        private void failPending(String reason) {
            PendingRequest request = pending;
            pending = null;
            if (request != null && !request.result.isDone()) {
                request.fail(reason);
            }
        }
    }
}
