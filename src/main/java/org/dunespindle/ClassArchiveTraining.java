package org.dunespindle;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.SampleMessages;
import org.dunespindle.protocol.Settings;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.HttpServerRequest;
import org.dunespindle.transport.HttpServerResponse;
import org.dunespindle.transport.NettyHttpClient;
import org.dunespindle.transport.NettyHttpServer;

/**
 * A short life on loopback, so that the build can archive the classes that a real start loads: starting a
 * JVM is dear on a seventh of a core. What it answers itself is canned; nothing is tested here.
 */
final class ClassArchiveTraining {
    private static final String HOST = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LENGTH = Duration.ofMillis(2500);

    private static final int SOCKETS = 256;
    private static final int BODY_LIMIT = 1 << 16;
    private static final String SETTINGS = """
        node_name = "a"
        front = "%s:0"
        peer_listen = "%s:0"
        [[seeds]]
        node_name = "b"
        address = "%s"
        [outside]
        cloud = "%s"
        state = "%s"
        [deployment]
        zones = ["z"]
        [[deployment.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 1.0
        gpus_max = 9.0
        [deployment.workers]
        report_s = 1.0
        lease_s = 10.0
        gang_wait_s = 30.0
        gang_peer_s = 5.0
        cancel_s = 30.0
        [deployment.state]
        rps = 90.0
        write_rps = 60.0
        value_kb = 8.0
        txn_ops = 16
        [deployment.cloud]
        rps = 6.0
        list_lag_s = 3.0
        """;

    private long revision = 1;

    private ClassArchiveTraining() {}

    static int run() {
        try {
            new ClassArchiveTraining().play();
            return 0;
        } catch (IOException | MalformedMessageException | RuntimeException e) {
            System.err.println("dunespindle: class archive training: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    private void play() throws IOException, MalformedMessageException, InterruptedException {
        var group = new NioEventLoopGroup(1);
        var connections = new ConnectionBudget(SOCKETS);
        Channel outside = listen(group, connections);
        String there = HOST + ":" + port(outside);
        String text = SETTINGS.formatted(HOST, HOST, there, there, there);
        Path settings = Files.writeString(Files.createTempFile("class-archive-training", ".toml"), text);
        try (Daemon daemon = new Daemon(Settings.load(settings))) {
            ask(
                    new NettyHttpClient(group.next(), 4, connections),
                    HOST + ":" + daemon.frontAddress().getPort(),
                    there);
        } finally {
            Files.delete(settings);
            outside.close();
            group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
        }
    }

    private Channel listen(NioEventLoopGroup group, ConnectionBudget connections) throws InterruptedException {
        var address = new InetSocketAddress(HOST, 0);
        return NettyHttpServer.open(
                group, address, BODY_LIMIT, this::answer, status -> reply(status, MessagePackCodec.map()), connections);
    }

    /** One request of each kind, with time between them for the controller to join and to act. */
    private static void ask(NettyHttpClient http, String controller, String worker) throws InterruptedException {
        Thread.sleep(LENGTH.toMillis() / 2);
        send(http, controller, "GET", "/healthz", MessagePackCodec.map());
        send(http, controller, "POST", "/agent/beat", SampleMessages.workerReport(worker, 1, 0));
        send(http, controller, "POST", "/submissions", SampleMessages.job("wk-1", JobKind.ARRAY));
        send(http, controller, "POST", "/submissions", SampleMessages.job("wk-2", JobKind.GANG));
        Thread.sleep(LENGTH.toMillis() / 4);
        send(http, controller, "POST", "/agent/beat", SampleMessages.workerReport(worker, 2, 2));
        send(http, controller, "GET", "/submissions/wk-1", MessagePackCodec.map());
        send(http, controller, "POST", "/submissions/wk-1/withdraw", MessagePackCodec.map());
        Thread.sleep(LENGTH.toMillis() / 4);
    }

    private static void send(NettyHttpClient http, String address, String method, String path, ObjectNode body) {
        byte[] bytes = method.equals("GET") ? new byte[0] : MessagePackCodec.write(body);
        http.send(address, method, path, bytes, MessagePackCodec.TYPE, TIMEOUT);
    }

    private static int port(Channel c) {
        return ((InetSocketAddress) c.localAddress()).getPort();
    }

    private static HttpServerResponse reply(int status, ObjectNode body) {
        return new HttpServerResponse(status, MessagePackCodec.TYPE, MessagePackCodec.write(body), Optional.empty());
    }

    private void answer(HttpServerRequest call, Consumer<HttpServerResponse> out) {
        revision += call.path().equals("/txn") ? 1 : 0;
        out.accept(reply(200, SampleMessages.answer(call.path(), revision)));
    }
}
