package org.dunespindle;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.NettyHttpClient;
import org.dunespindle.transport.NettyHttpServer;

/** Runs a controller and its listeners on one event loop, so that their state needs no locks. */
public final class Daemon implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_PEER_BODY_BYTES = 1 << 20;
    /** Limits idle connections to workers to a tenth of the sockets, since each worker also keeps a connection to this controller. */
    private static final int SOCKETS_PER_IDLE_CONNECTION = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ConnectionBudget connections;
    private final Controller controller;
    private final Optional<Extension> extension;
    private final Channel front;
    private final Channel peer;
    /** Why the controller has terminated; null while it runs. Written by the event loop, read by the thread in {@link #awaitEnd}. */
    private volatile String terminationReason;

    /** A part of the program that a features file enables. */
    public interface Extension extends AutoCloseable {
        /** The stored format versions that the controller supports with this extension. */
        FormatSupport formats();

        /** Connects the controller to other cells; called once, before the controller starts. */
        JobDelegation connect(DelegationContext context, NioEventLoopGroup group);

        @Override
        void close();
    }

    /** Binds the listeners and starts the controller without an extension. */
    public Daemon(Settings settings) throws InterruptedException {
        this(settings, Optional.empty());
    }

    /** Binds the listeners and starts the controller. */
    public Daemon(Settings settings, Optional<Extension> extension) throws InterruptedException {
        this.extension = extension;
        connections = new ConnectionBudget(settings.sockets());
        EventLoop loop = group.next();
        var timeSource = new EventLoopTimeSource(loop);
        controller = new Controller(
                settings,
                new NettyHttpClient(loop, settings.sockets() / SOCKETS_PER_IDLE_CONNECTION, connections),
                timeSource,
                extension.map(Extension::formats).orElse(FormatSupport.STANDARD),
                this::terminate,
                context -> extension.map(part -> part.connect(context, group)).orElse(JobDelegation.NONE));
        front = NettyHttpServer.open(
                group,
                settings.front(),
                MAX_BODY_BYTES,
                new FrontRoutes(controller, connections)::handle,
                FrontRoutes::errorResponse,
                connections);
        peer = NettyHttpServer.open(
                group,
                settings.peerListen(),
                MAX_PEER_BODY_BYTES,
                new PeerRoutes(controller)::handle,
                PeerRoutes::errorResponse,
                connections);
        loop.execute(controller::start);
    }

    /** The address at which users and workers reach this controller. */
    public InetSocketAddress frontAddress() {
        return (InetSocketAddress) front.localAddress();
    }

    /** The address at which other controllers and operators reach this controller. */
    public InetSocketAddress peerAddress() {
        return (InetSocketAddress) peer.localAddress();
    }

    /** Blocks until this daemon is closed; throws an exception with the reason if the controller has terminated by itself. */
    public void awaitEnd() throws InterruptedException {
        front.closeFuture().sync();
        if (terminationReason != null) {
            throw new IllegalStateException(terminationReason);
        }
    }

    private void terminate(String reason) {
        terminationReason = reason;
        front.close();
    }

    @Override
    public void close() {
        extension.ifPresent(Extension::close);
        front.close();
        peer.close();
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
