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
import org.dunespindle.transport.HttpStatus;
import org.dunespindle.transport.NettyHttpClient;
import org.dunespindle.transport.NettyHttpServer;

/**
 * Runs a controller on the loopback interface for a short time, so that the build can archive the classes that a start loads: starting a
 * JVM without the archive is slow on a machine with a seventh of a core. The state store, the cloud and a worker are replaced by fixed
 * answers; nothing is verified.
 */
final class ClassArchiveTraining {
    private static final String HOST = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RUN_TIME = Duration.ofMillis(2500);

    private static final int MAX_SOCKETS = 256;
    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int MAX_BODY_BYTES = 1 << 16;
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
            new ClassArchiveTraining().train();
            return 0;
        } catch (IOException | MalformedMessageException | RuntimeException e) {
            System.err.println("dunespindle: class archive training failed: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    private void train() throws IOException, MalformedMessageException, InterruptedException {
        var group = new NioEventLoopGroup(1);
        var connections = new ConnectionBudget(MAX_SOCKETS);
        Channel services = listen(group, connections);
        String servicesAddress = HOST + ":" + port(services);
        String text = SETTINGS.formatted(HOST, HOST, servicesAddress, servicesAddress, servicesAddress);
        Path settings = Files.writeString(Files.createTempFile("class-archive-training", ".toml"), text);
        try (Daemon daemon = new Daemon(Settings.load(settings))) {
            sendRequests(
                    new NettyHttpClient(group.next(), MAX_IDLE_CONNECTIONS, connections),
                    HOST + ":" + daemon.frontAddress().getPort(),
                    servicesAddress);
        } finally {
            Files.delete(settings);
            services.close();
            group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
        }
    }

    private Channel listen(NioEventLoopGroup group, ConnectionBudget connections) throws InterruptedException {
        var address = new InetSocketAddress(HOST, 0);
        return NettyHttpServer.open(
                group,
                address,
                MAX_BODY_BYTES,
                this::answer,
                status -> response(status, MessagePackCodec.map()),
                connections);
    }

    /** Sends one request of each kind, with pauses in which the controller joins the cell and acts on them. */
    private static void sendRequests(NettyHttpClient http, String controller, String worker)
            throws InterruptedException {
        Thread.sleep(RUN_TIME.toMillis() / 2);
        send(http, controller, "GET", "/healthz", MessagePackCodec.map());
        send(http, controller, "POST", "/agent/beat", SampleMessages.workerHeartbeat(worker, 1, 0));
        send(http, controller, "POST", "/submissions", SampleMessages.job("wk-1", JobKind.ARRAY));
        send(http, controller, "POST", "/submissions", SampleMessages.job("wk-2", JobKind.GANG));
        Thread.sleep(RUN_TIME.toMillis() / 4);
        send(http, controller, "POST", "/agent/beat", SampleMessages.workerHeartbeat(worker, 2, 2));
        send(http, controller, "GET", "/submissions/wk-1", MessagePackCodec.map());
        send(http, controller, "POST", "/submissions/wk-1/withdraw", MessagePackCodec.map());
        Thread.sleep(RUN_TIME.toMillis() / 4);
    }

    private static void send(NettyHttpClient http, String address, String method, String path, ObjectNode body) {
        byte[] bytes = method.equals("GET") ? new byte[0] : MessagePackCodec.write(body);
        http.send(address, method, path, bytes, MessagePackCodec.CONTENT_TYPE, TIMEOUT);
    }

    private static int port(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private static HttpServerResponse response(int status, ObjectNode body) {
        return new HttpServerResponse(
                status, MessagePackCodec.CONTENT_TYPE, MessagePackCodec.write(body), Optional.empty());
    }

    private void answer(HttpServerRequest request, Consumer<HttpServerResponse> answer) {
        revision += request.path().equals("/txn") ? 1 : 0;
        answer.accept(response(HttpStatus.OK, SampleMessages.answer(request.path(), revision)));
    }
}
