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
import org.dunespindle.protocol.MalformedException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.SampleMessages;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Shape;
import org.dunespindle.transport.HttpCall;
import org.dunespindle.transport.HttpCaller;
import org.dunespindle.transport.HttpListener;
import org.dunespindle.transport.HttpReply;
import org.dunespindle.transport.Sockets;

/**
 * A short life on loopback, so that the build can archive the classes that a real start loads: starting a
 * JVM is dear on a seventh of a core. What it answers itself is canned; nothing is tested here.
 */
final class ClassArchiveTraining {
    private static final String HOST = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LENGTH = Duration.ofMillis(2500);
    private long revision = 1;

    private static final int SOCKETS = 256;

    private ClassArchiveTraining() {}

    static int run() {
        try {
            new ClassArchiveTraining().play();
            return 0;
        } catch (IOException | MalformedException | RuntimeException e) {
            System.err.println("dunespindle: class archive training: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    private void play() throws IOException, MalformedException, InterruptedException {
        var group = new NioEventLoopGroup(1);
        var sockets = new Sockets(SOCKETS);
        Channel outside = HttpListener.open(
                group,
                new InetSocketAddress(HOST, 0),
                1 << 16,
                this::answer,
                s -> reply(s, MessagePackCodec.map()),
                sockets);
        Channel probe = HttpListener.open(
                group,
                new InetSocketAddress(HOST, 0),
                1 << 16,
                this::answer,
                s -> reply(s, MessagePackCodec.map()),
                sockets);
        int front = port(probe);
        probe.close().sync();
        String there = HOST + ":" + port(outside);
        String file = """
                node_name = "a"
                front = "%s:%d"
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
                """.formatted(HOST, front, HOST, there, there, there);
        Path settings = Files.writeString(Files.createTempFile("class-archive-training", ".toml"), file);
        try (var daemon = new Daemon(Settings.load(settings))) {
            var http = new HttpCaller(group.next(), 4, sockets);
            String self = HOST + ":" + front;
            Thread.sleep(LENGTH.toMillis() / 2);
            http.send(self, "GET", "/healthz", new byte[0], MessagePackCodec.TYPE, TIMEOUT);
            http.send(
                    self,
                    "POST",
                    "/agent/beat",
                    MessagePackCodec.write(SampleMessages.workerReport(there, 1, 0)),
                    MessagePackCodec.TYPE,
                    TIMEOUT);
            http.send(
                    self,
                    "POST",
                    "/submissions",
                    MessagePackCodec.write(SampleMessages.job("wk-1", Shape.ARRAY)),
                    MessagePackCodec.TYPE,
                    TIMEOUT);
            http.send(
                    self,
                    "POST",
                    "/submissions",
                    MessagePackCodec.write(SampleMessages.job("wk-2", Shape.GANG)),
                    MessagePackCodec.TYPE,
                    TIMEOUT);
            Thread.sleep(LENGTH.toMillis() / 4);
            http.send(
                    self,
                    "POST",
                    "/agent/beat",
                    MessagePackCodec.write(SampleMessages.workerReport(there, 2, 2)),
                    MessagePackCodec.TYPE,
                    TIMEOUT);
            http.send(self, "GET", "/submissions/wk-1", new byte[0], MessagePackCodec.TYPE, TIMEOUT);
            http.send(self, "POST", "/submissions/wk-1/withdraw", new byte[0], MessagePackCodec.TYPE, TIMEOUT);
            Thread.sleep(LENGTH.toMillis() / 4);
        } finally {
            Files.delete(settings);
            outside.close();
            group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
        }
    }

    private static int port(Channel c) {
        return ((InetSocketAddress) c.localAddress()).getPort();
    }

    private static HttpReply reply(int status, ObjectNode body) {
        return new HttpReply(status, MessagePackCodec.TYPE, MessagePackCodec.write(body), Optional.empty());
    }

    private void answer(HttpCall call, Consumer<HttpReply> out) {
        revision += call.path().equals("/txn") ? 1 : 0;
        out.accept(reply(200, SampleMessages.answer(call.path(), revision)));
    }
}
