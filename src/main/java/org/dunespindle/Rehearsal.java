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
import org.dunespindle.protocol.Pack;
import org.dunespindle.protocol.Settings;
import org.dunespindle.transport.HttpCall;
import org.dunespindle.transport.HttpCaller;
import org.dunespindle.transport.HttpListener;
import org.dunespindle.transport.HttpReply;
import org.dunespindle.transport.Sockets;

/**
 * A short life on loopback, so that the build can archive the classes that a real start loads: starting a
 * JVM is dear on a seventh of a core. What it answers itself is canned; nothing is tested here.
 */
final class Rehearsal {
    private static final String HOST = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LENGTH = Duration.ofMillis(2500);
    private long revision = 1;

    private static final int SOCKETS = 256;

    private Rehearsal() {}

    static int run() {
        try {
            new Rehearsal().play();
            return 0;
        } catch (IOException | MalformedException | RuntimeException e) {
            System.err.println("dunespindle: rehearsal: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    private void play() throws IOException, MalformedException, InterruptedException {
        var group = new NioEventLoopGroup(1);
        var sockets = new Sockets(SOCKETS);
        Channel outside = HttpListener.open(
                group, new InetSocketAddress(HOST, 0), 1 << 16, this::answer, s -> reply(s, Pack.map()), sockets);
        Channel probe = HttpListener.open(
                group, new InetSocketAddress(HOST, 0), 1 << 16, this::answer, s -> reply(s, Pack.map()), sockets);
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
        Path settings = Files.writeString(Files.createTempFile("rehearsal", ".toml"), file);
        try (var daemon = new Daemon(Settings.load(settings))) {
            var http = new HttpCaller(group.next(), 4, sockets);
            String self = HOST + ":" + front;
            Thread.sleep(LENGTH.toMillis() / 2);
            http.send(self, "GET", "/healthz", new byte[0], Pack.TYPE, TIMEOUT);
            http.send(self, "POST", "/agent/beat", Pack.write(workerReport(there)), Pack.TYPE, TIMEOUT);
            http.send(self, "POST", "/submissions", Pack.write(job("wk-1", "array")), Pack.TYPE, TIMEOUT);
            http.send(self, "POST", "/submissions", Pack.write(job("wk-2", "group")), Pack.TYPE, TIMEOUT);
            Thread.sleep(LENGTH.toMillis() / 4);
            http.send(
                    self,
                    "POST",
                    "/agent/beat",
                    Pack.write(workerReport(there).put("tick", 2).put("baton", 2)),
                    Pack.TYPE,
                    TIMEOUT);
            http.send(self, "GET", "/submissions/wk-1", new byte[0], Pack.TYPE, TIMEOUT);
            http.send(self, "POST", "/submissions/wk-1/withdraw", new byte[0], Pack.TYPE, TIMEOUT);
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
        return new HttpReply(status, Pack.TYPE, Pack.write(body), Optional.empty());
    }

    private static ObjectNode workerReport(String address) {
        ObjectNode n = Pack.map()
                .put("host", "i-1")
                .put("address", address)
                .put("hull", "m")
                .put("dune", "z")
                .put("driftwood", false)
                .put("tenure", 1)
                .put("tick", 1)
                .put("baton", 0);
        n.putArray("pieces")
                .addObject()
                .put("piece", "wk-9/0")
                .put("try", 1)
                .put("phase", "exited")
                .put("cause", "done");
        return n;
    }

    private static ObjectNode job(String id, String shape) {
        return Pack.map()
                .put("id", id)
                .put("jobclass", "c")
                .put("owner", "t")
                .put("shape", shape)
                .put("rank", "urgent")
                .put("pieces", 2)
                .put("vcpus", 1.0)
                .put("accelerators", 1.0)
                .put("ramGb", 1.0)
                .put("samePlace", true)
                .put("apart", false)
                .put("driftwood", true)
                .put("bundle", "i")
                .put("imageGb", 1.0)
                .put("guessS", 1.0)
                .put("snapshotS", 0.0)
                .put("flushS", 0.0);
    }

    private void answer(HttpCall call, Consumer<HttpReply> out) {
        ObjectNode n = Pack.map().put("epoch", revision).put("more", false);
        switch (call.path()) {
            case "/txn" -> n.put("epoch", ++revision);
            case "/holds" -> n.put("tether", 1);
            case "/orders" ->
                n = workerReport("")
                        .put("address", "127.0.0.1:1")
                        .put("baton", 2)
                        .put("tick", 3);
            case "/catalog" -> {
                ObjectNode h = n.putArray("hulls").addObject();
                h.put("name", "m")
                        .put("vcpus", 4.0)
                        .put("accelerators", 4.0)
                        .put("ramGb", 4.0)
                        .put("cacheGb", 4.0)
                        .put("fetchGbPerS", 1.0)
                        .put("hourly", 1.0)
                        .put("lowPrice", 1.0)
                        .put("readyS", 1.0);
                h.putArray("dunes").add("z");
            }
            case "/rentals" -> {
                ObjectNode h = n.putArray("hosts").addObject();
                h.put("id", "i-1")
                        .put("address", "127.0.0.1:1")
                        .put("hull", "m")
                        .put("dune", "z")
                        .put("driftwood", false)
                        .put("phase", "running")
                        .put("ageS", 1.0);
            }
            default -> {}
        }
        out.accept(reply(200, n));
    }
}
