package org.dunespindle.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An HTTP/1.1 listener that hands whole requests to a handler, one at a time per connection. */
public final class NettyHttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);

    private static final Duration LINGER = Duration.ofSeconds(2);
    /** All workers come back at once after a cut or a crash; a connection that finds no place waits a second or more for its next try. */
    private static final int BACKLOG = 4096;

    /** Answers a request now or later, exactly once, on the event loop. */
    @FunctionalInterface
    public interface Handler {
        /** Handles one request; the reply may be given later, on the same thread. */
        void handle(HttpServerRequest call, Consumer<HttpServerResponse> answer);
    }

    private NettyHttpServer() {}

    /**
     * Binds the listener.
     *
     * @param connections counts its connections
     * @param refusal builds the answer to a request that cannot be read, from its status code
     */
    public static Channel open(
            EventLoopGroup loop,
            InetSocketAddress address,
            int bodyLimit,
            Handler handler,
            IntFunction<HttpServerResponse> refusal,
            ConnectionBudget connections)
            throws InterruptedException {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.opened();
                        channel.closeFuture().addListener(closed -> connections.closed());
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(4096, 8192, 8192),
                                        new Whole(bodyLimit, refusal),
                                        new Serial(handler, refusal));
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    private static DefaultFullHttpResponse response(HttpServerResponse reply, boolean keepAlive) {
        var response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        var headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        reply.retryAfter()
                .ifPresent(d -> headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(Math.max(1, d.toSeconds()))));
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    /** Collects bodies; an over-long one gets an answer in the service's own form, then the connection ends. */
    private static final class Whole extends HttpObjectAggregator {
        private final IntFunction<HttpServerResponse> refusal;

        Whole(int limit, IntFunction<HttpServerResponse> refusal) {
            super(limit);
            this.refusal = refusal;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            // Closing while the rest still arrives would reset the connection, and the peer might never read the
            // answer.
            ctx.writeAndFlush(response(refusal.apply(413), false))
                    .addListener(sent ->
                            ctx.executor().schedule(() -> ctx.close(), LINGER.toMillis(), TimeUnit.MILLISECONDS));
        }
    }

    /** Keeps the order of answers even when a peer pipelines against the rules. */
    private static final class Serial extends ChannelInboundHandlerAdapter {
        private static final int MOST_WAITING = 32;
        private final Handler handler;
        private final IntFunction<HttpServerResponse> refusal;
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private boolean busy;

        Serial(Handler handler, IntFunction<HttpServerResponse> refusal) {
            this.handler = handler;
            this.refusal = refusal;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof FullHttpRequest request)) {
                return;
            }
            Runnable work;
            try {
                work = prepare(ctx, request);
            } finally {
                request.release();
            }
            if (busy) {
                waiting.add(work);
                if (waiting.size() >= MOST_WAITING) {
                    ctx.channel().config().setAutoRead(false);
                }
                return;
            }
            busy = true;
            work.run();
        }

        private Runnable prepare(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                return () -> answer(ctx, refusal.apply(400), false);
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpServerRequest call = call(request);
            return () -> {
                try {
                    handler.handle(call, reply -> answer(ctx, reply, keepAlive));
                } catch (RuntimeException e) {
                    LOG.error("a request to {} failed inside the service", call.path(), e);
                    answer(ctx, refusal.apply(500), keepAlive);
                }
            };
        }

        private static HttpServerRequest call(FullHttpRequest request) {
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            String uri = ((HttpRequest) request).uri();
            int mark = uri.indexOf('?');
            return new HttpServerRequest(
                    request.method().name(),
                    mark < 0 ? uri : uri.substring(0, mark),
                    mark < 0 ? "" : uri.substring(mark + 1),
                    body);
        }

        private void answer(ChannelHandlerContext ctx, HttpServerResponse reply, boolean wanted) {
            boolean keepAlive = wanted && !reply.last();
            var sent = ctx.writeAndFlush(response(reply, keepAlive));
            if (!keepAlive) {
                waiting.clear();
                sent.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            Runnable next = waiting.poll();
            if (next == null) {
                busy = false;
                ctx.channel().config().setAutoRead(true);
            } else {
                ctx.executor().execute(next);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("connection from {} ended: {}", ctx.channel().remoteAddress(), cause.toString());
            ctx.close();
        }
    }
}
