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

/** Runs a controller and its listeners on one event loop, so that nothing needs a lock. */
public final class Daemon implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_PEER_BODY_BYTES = 1 << 20;
    /** Workers keep a connection each to this controller; idle ones to them may take one in so many of the sockets. */
    private static final int SOCKETS_PER_IDLE_CONNECTION = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ConnectionBudget connections;
    private final Controller controller;
    private final Optional<Extension> extension;
    private final Channel front;
    private final Channel peer;
    /** Why the controller cannot go on; written by the event loop, read by the thread that waits for the end. */
    private volatile String terminationReason;

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
                FrontRoutes::refuse,
                connections);
        peer = NettyHttpServer.open(
                group,
                settings.peerListen(),
                MAX_PEER_BODY_BYTES,
                new PeerRoutes(controller)::handle,
                PeerRoutes::refuse,
                connections);
        loop.execute(controller::start);
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
