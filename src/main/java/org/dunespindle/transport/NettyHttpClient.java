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

/** Outgoing requests over kept connections, one request at a time on each. All on one event loop. */
public final class NettyHttpClient implements HttpClient {
    /** Pages of the state service have 512 KiB at most; only a log of changes may be longer, and it is then read as pages. */
    private static final int ANSWER_LIMIT = 2 << 20;

    private static final int KEPT_PER_ADDRESS = 3;
    private final int mostKept;
    private final ConnectionBudget connections;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    /** Idle connections by address, the longest unused address first. */
    private final LinkedHashMap<String, ArrayDeque<Channel>> kept = new LinkedHashMap<>(16, 0.75f, true);

    private int idleCount;

    /**
     * A caller on one event loop.
     *
     * @param mostKept idle connections kept at most; there may be more workers than sockets
     * @param connections counts its connections; while they are scarce, none is kept idle
     */
    public NettyHttpClient(EventLoop loop, int mostKept, ConnectionBudget connections) {
        this.connections = connections;
        this.mostKept = mostKept;
        this.loop = loop;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new Bounded(), new Exchange());
                    }
                });
    }

    @Override
    public CompletableFuture<HttpClientResponse> send(
            String address, String method, String target, byte[] body, String contentType, Duration timeout) {
        var pending = new Pending(address, request(address, method, target, body, contentType));
        pending.until = System.nanoTime() + timeout.toNanos();
        pending.timer =
                loop.schedule(() -> pending.fail("no answer in time"), timeout.toMillis(), TimeUnit.MILLISECONDS);
        ArrayDeque<Channel> idle = kept.getOrDefault(address, new ArrayDeque<>());
        Channel channel;
        while ((channel = idle.pollLast()) != null) {
            idleCount--;
            if (channel.isActive()) {
                pending.start(channel);
                return pending.result;
            }
        }
        int colon = address.lastIndexOf(':');
        InetSocketAddress target4;
        try {
            target4 =
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (RuntimeException e) {
            pending.fail("not an address: " + address);
            return pending.result;
        }
        var connecting = bootstrap.connect(target4);
        connections.opened();
        connecting.channel().closeFuture().addListener(closed -> connections.closed());
        pending.connecting = connecting.channel();
        connecting.addListener((io.netty.channel.ChannelFuture f) -> {
            if (!f.isSuccess()) {
                pending.fail("no connection");
            } else if (pending.result.isDone()) {
                f.channel().close();
            } else if (System.nanoTime() - pending.until > 0) {
                // After this process stood still, connects that finished meanwhile come before overdue timers: what was
                // decided before is not sent any more.
                f.channel().close();
                pending.fail("no connection in time");
            } else {
                pending.start(f.channel());
            }
        });
        return pending.result;
    }

    /** Closes what has not been used for longest. */
    private void trim() {
        var oldest = kept.values().iterator();
        int most = connections.scarce() ? 0 : mostKept;
        while (idleCount > most && oldest.hasNext()) {
            ArrayDeque<Channel> idle = oldest.next();
            while (!idle.isEmpty() && idleCount > most) {
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

    private final class Pending {
        final String address;
        final DefaultFullHttpRequest request;
        final CompletableFuture<HttpClientResponse> result = new CompletableFuture<>();
        ScheduledFuture<?> timer;
        /** In the loop's own time. */
        long until;

        Channel channel;
        Channel connecting;
        boolean tooLong;

        Pending(String address, DefaultFullHttpRequest request) {
            this.address = address;
            this.request = request;
        }

        void start(Channel c) {
            channel = c;
            c.pipeline().get(Exchange.class).pending = this;
            c.writeAndFlush(request);
        }

        void fail(String why) {
            timer.cancel(false);
            if (channel != null) {
                channel.close();
            }
            if (connecting != null) {
                connecting.close(); // one that hangs in a cut would hold its socket for minutes
            }
            result.completeExceptionally(
                    tooLong ? new ResponseTooLongException() : new HttpCallException(why, channel != null));
        }

        void finish(HttpClientResponse response, boolean keep) {
            timer.cancel(false);
            ArrayDeque<Channel> idle = kept.computeIfAbsent(address, a -> new ArrayDeque<>());
            if (keep && idle.size() < KEPT_PER_ADDRESS) {
                idle.addLast(channel);
                idleCount++;
                trim();
            } else {
                channel.close();
            }
            result.complete(response);
        }
    }

    /** Takes in whole answers up to the limit; what is longer is given up. */
    private static final class Bounded extends HttpObjectAggregator {
        Bounded() {
            super(ANSWER_LIMIT);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            Pending p = ctx.pipeline().get(Exchange.class).pending;
            if (p != null && !p.result.isDone()) {
                p.tooLong = true;
                p.fail("too long");
            }
            ctx.close();
        }
    }

    private static final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Pending pending;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Pending p = pending;
            pending = null;
            if (p == null || p.result.isDone()) {
                ctx.close();
            } else if (response.decoderResult().isFailure()) {
                p.fail("unreadable answer");
            } else {
                byte[] body = new byte[response.content().readableBytes()];
                response.content().readBytes(body);
                p.finish(new HttpClientResponse(response.status().code(), body), HttpUtil.isKeepAlive(response));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
            end("connection failed");
        }

        private void end(String why) {
            Pending p = pending;
            pending = null;
            if (p != null && !p.result.isDone()) {
                p.fail(why);
            }
        }
    }
}
