package org.dunespindle;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.federation.Federation;
import org.dunespindle.federation.FederationSettings;
import org.dunespindle.federation.grpc.GrpcCellServer;
import org.dunespindle.federation.grpc.GrpcCellTransport;
import org.dunespindle.storage.FormatSupport;

/** Connects a daemon to the federation over gRPC. */
public final class FederationExtension implements Daemon.Extension {
    private final FederationSettings settings;
    private GrpcCellTransport transport;
    private GrpcCellServer server;

    /** Creates the extension for the settings of a features file; {@link #connect} starts it. */
    public FederationExtension(FederationSettings settings) {
        this.settings = settings;
    }

    @Override
    public FormatSupport formats() {
        return FormatSupport.FEDERATED;
    }

    @Override
    public JobDelegation connect(DelegationContext context, NioEventLoopGroup group) {
        EventLoop loop = group.next(); // the group's only event loop, which is the controller's
        transport = new GrpcCellTransport(group, loop);
        var federation = new Federation(context, settings, transport, new SecureRandom());
        String host = context.settings().peerListen().getHostString();
        try {
            server = new GrpcCellServer(new InetSocketAddress(host, settings.port()), group, loop, federation::handle);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + host + ":" + settings.port(), e);
        }
        return federation;
    }

    /** The bound port for requests of other cells. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        transport.close();
        server.close();
    }
}
