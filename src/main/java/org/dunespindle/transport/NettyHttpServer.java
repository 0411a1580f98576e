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

/** An HTTP/1.1 server that passes complete requests to a handler, one at a time per connection. */
public final class NettyHttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);

    private static final Duration CLOSE_DELAY = Duration.ofSeconds(2);
    /**
     * After a network partition or a crash all workers reconnect at once; a connection that finds the backlog full is retried by its
     * client's TCP only after a second or more.
     */
    private static final int BACKLOG = 4096;

    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 8192;

    /** Handles requests; each is answered exactly once, on the event loop. */
    @FunctionalInterface
    public interface Handler {
        /** Handles one request; the response may be passed to {@code answer} later, on the same thread. */
        void handle(HttpServerRequest request, Consumer<HttpServerResponse> answer);
    }

    private NettyHttpServer() {}

    /**
     * Binds a listener.
     *
     * @param bodyLimit the maximum size of a request's body in bytes
     * @param errorResponse builds the response with a given status to a request that is malformed, too long or failed in its handler
     * @param connections counts the listener's connections
     */
    public static Channel open(
            EventLoopGroup loop,
            InetSocketAddress address,
            int bodyLimit,
            Handler handler,
            IntFunction<HttpServerResponse> errorResponse,
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
                                        new HttpServerCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                                        new RequestAggregator(bodyLimit, errorResponse),
                                        new SerialRequestHandler(handler, errorResponse));
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    private static DefaultFullHttpResponse encode(HttpServerResponse response, boolean keepAlive) {
        var encoded = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()));
        var headers = encoded.headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        response.retryAfter()
                .ifPresent(d -> headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(Math.max(1, d.toSeconds()))));
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return encoded;
    }

    /** Collects complete requests; one with a body above the limit gets an error response, then the connection is closed. */
    private static final class RequestAggregator extends HttpObjectAggregator {
        private final IntFunction<HttpServerResponse> errorResponse;

        RequestAggregator(int bodyLimit, IntFunction<HttpServerResponse> errorResponse) {
            super(bodyLimit);
            this.errorResponse = errorResponse;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            // Closing while the rest of the body still arrives would reset the connection, and the client might never
            // read the response.
            ctx.writeAndFlush(encode(errorResponse.apply(HttpStatus.CONTENT_TOO_LARGE), false))
                    .addListener(sent ->
                            ctx.executor().schedule(() -> ctx.close(), CLOSE_DELAY.toMillis(), TimeUnit.MILLISECONDS));
        }
    }

    /** Handles the requests of a connection one after another, so that responses keep the order even of pipelined requests. */
    private static final class SerialRequestHandler extends ChannelInboundHandlerAdapter {
        private static final int MAX_QUEUED = 32;
        private final Handler handler;
        private final IntFunction<HttpServerResponse> errorResponse;
        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private boolean busy;

        SerialRequestHandler(Handler handler, IntFunction<HttpServerResponse> errorResponse) {
            this.handler = handler;
            this.errorResponse = errorResponse;
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
                queue.add(work);
                if (queue.size() >= MAX_QUEUED) {
                    ctx.channel().config().setAutoRead(false);
                }
                return;
            }
            busy = true;
            work.run();
        }

        private Runnable prepare(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                return () -> answer(ctx, errorResponse.apply(HttpStatus.BAD_REQUEST), false);
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpServerRequest decoded = decode(request);
            return () -> {
                try {
                    handler.handle(decoded, response -> answer(ctx, response, keepAlive));
                } catch (RuntimeException e) {
                    LOG.error("request failed method={} path={}", decoded.method(), decoded.path(), e);
                    answer(ctx, errorResponse.apply(HttpStatus.INTERNAL_SERVER_ERROR), keepAlive);
                }
            };
        }

        private static HttpServerRequest decode(FullHttpRequest request) {
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            String uri = ((HttpRequest) request).uri();
            int queryMark = uri.indexOf('?');
            return new HttpServerRequest(
                    request.method().name(),
                    queryMark < 0 ? uri : uri.substring(0, queryMark),
                    queryMark < 0 ? "" : uri.substring(queryMark + 1),
                    body);
        }

        private void answer(ChannelHandlerContext ctx, HttpServerResponse response, boolean clientKeepsAlive) {
            boolean keepAlive = clientKeepsAlive && !response.closesConnection();
            var sent = ctx.writeAndFlush(encode(response, keepAlive));
            if (!keepAlive) {
                queue.clear();
                sent.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            Runnable next = queue.poll();
            if (next == null) {
                busy = false;
                ctx.channel().config().setAutoRead(true);
            } else {
                ctx.executor().execute(next);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("connection failed remote={} cause={}", ctx.channel().remoteAddress(), cause.toString());
            ctx.close();
        }
    }
}
