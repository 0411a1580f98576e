package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.SampleMessages;
import org.dunespindle.storage.Keys;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.HttpServerRequest;
import org.dunespindle.transport.HttpServerResponse;
import org.dunespindle.transport.NettyHttpServer;

/**
 * A load program, no test: starts one controller with the command of the deploy file beside a state service that holds many finished jobs,
 * and prints what the start and the following seconds cost. Run it from the project's root after the build of the deploy file:
 *
 * <pre>java -Xmx3g -cp target/dunespindle.jar:target/test-classes org.dunespindle.sim.StartWithHistory 100000</pre>
 */
final class StartWithHistory {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_SOCKETS = 500;
    private static final int ADVANCE_INTERVAL_MILLIS = 5;
    private static final Duration START_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration IDLE = Duration.ofSeconds(20);
    /** The kernel's unit of processor time in {@code /proc}. */
    private static final double TICKS_PER_SECOND = 100;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final VirtualTime sim = new VirtualTime(1);
    private final FakeStateStore store = new FakeStateStore(sim);
    private final AtomicLong pages = new AtomicLong();
    private final AtomicLong pageBytes = new AtomicLong();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final int finishedJobs;

    private StartWithHistory(int finishedJobs) {
        this.finishedJobs = finishedJobs;
    }

    /** Runs the program; the argument is the number of finished jobs. */
    public static void main(String[] arguments) throws Exception {
        var program = new StartWithHistory(Integer.parseInt(arguments[0]));
        program.run();
        System.exit(0);
    }

    private void run() throws Exception {
        for (int i = 0; i < finishedJobs; i++) {
            store.addOldRow(Keys.job(JobHistory.id(i)), JobHistory.record(i));
        }
        int frontPort = freePort();
        int peerPort = freePort();
        Path settings = Files.createTempFile(Path.of("target"), "history", ".toml");
        Files.writeString(settings, settings(frontPort, peerPort, serve()));
        long startedAt = System.nanoTime();
        group.next()
                .scheduleAtFixedRate(
                        () -> sim.run(Duration.ofNanos(System.nanoTime() - startedAt)),
                        0,
                        ADVANCE_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        Process controller = start(settings);
        try {
            measure(controller, startedAt, frontPort, peerPort);
        } finally {
            controller.destroyForcibly().waitFor();
            Files.delete(settings);
        }
    }

    private void measure(Process controller, long startedAt, int frontPort, int peerPort) throws Exception {
        long pid = controller.pid();
        while (get(frontPort, "/healthz").isEmpty()) {
            if (!controller.isAlive() || System.nanoTime() - startedAt > START_TIMEOUT.toNanos()) {
                System.out.printf("finishedJobs=%d did not start%n", finishedJobs);
                return;
            }
            Thread.sleep(20);
        }
        double startSeconds = (System.nanoTime() - startedAt) / 1e9;
        double startProcessorSeconds = processorSeconds(pid);
        Thread.sleep(IDLE.toMillis());
        double idleProcessorSeconds = processorSeconds(pid) - startProcessorSeconds;
        System.out.printf(
                "finishedJobs=%d startSeconds=%.1f startProcessorSeconds=%.2f pages=%d pageMiB=%.1f peakProcessMiB=%.0f"
                        + " liveHeapMiB=%.1f idleProcessorPercent=%.1f rounds=%s replica=%s%n",
                finishedJobs,
                startSeconds,
                startProcessorSeconds,
                pages.get(),
                pageBytes.get() / (double) (1 << 20),
                peakProcessMiB(pid),
                liveHeapMiB(pid),
                100 * idleProcessorSeconds / IDLE.toSeconds(),
                get(peerPort, "/v1/latency").map(StartWithHistory::rounds).orElse("?"),
                get(peerPort, "/v1/replica").orElse("?"));
    }

    private static String rounds(String latency) {
        int from = latency.indexOf("\"decisionRound\"");
        return latency.substring(from, latency.indexOf('}', from) + 1);
    }

    /** Starts a controller with the command of the deploy file. */
    private static Process start(Path settings) throws IOException {
        String run = new TomlMapper()
                .readTree(Path.of("deploy/service.toml").toFile())
                .path("run")
                .asText();
        var command = new ArrayList<>(List.of(run.split(" ")));
        command.add(settings.toString());
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.to(Path.of("target/history.log").toFile()))
                .start();
    }

    /** The settings of one of three controllers, with the limits of the state service in Leoben; the other two are not running. */
    private static String settings(int frontPort, int peerPort, int servicesPort) throws IOException {
        String services = HOST + ":" + servicesPort;
        String seeds = "[[seeds]]\nnode_name = \"n1\"\narea = \"east\"\naddress = \"" + HOST + ":" + freePort() + "\"\n"
                + "[[seeds]]\nnode_name = \"n2\"\narea = \"east\"\naddress = \"" + HOST + ":" + freePort() + "\"\n";
        JsonNode node =
                TestSettings.node("n0", HOST + ":" + frontPort, HOST + ":" + peerPort, services, services, seeds);
        ((ObjectNode) node.path("deployment").path("state"))
                .put("rps", 150.0)
                .put("write_rps", 25.0)
                .put("txn_ops", 12);
        return new TomlMapper().writeValueAsString(node);
    }

    private int serve() throws InterruptedException {
        var channel = NettyHttpServer.open(
                group,
                new InetSocketAddress(HOST, 0),
                MAX_BODY_BYTES,
                this::answer,
                status -> response(new FakeStateStore.Reply(status, MessagePackCodec.map())),
                new ConnectionBudget(MAX_SOCKETS));
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private void answer(HttpServerRequest request, Consumer<HttpServerResponse> answer) {
        if (request.path().equals("/catalog") || request.path().startsWith("/rentals")) {
            answer.accept(response(new FakeStateStore.Reply(200, SampleMessages.answer(request.path(), 1))));
            return;
        }
        String query = request.query() == null || request.query().isEmpty() ? "" : "?" + request.query();
        HttpServerResponse response = response(store.answer(request.method(), request.path() + query, body(request)));
        if (request.path().equals("/keys")) {
            pages.incrementAndGet();
            pageBytes.addAndGet(response.body().length);
        }
        answer.accept(response);
    }

    private static HttpServerResponse response(FakeStateStore.Reply reply) {
        return new HttpServerResponse(
                reply.status(), MessagePackCodec.CONTENT_TYPE, MessagePackCodec.write(reply.body()), Optional.empty());
    }

    private static JsonNode body(HttpServerRequest request) {
        try {
            return request.body().length == 0 ? MessagePackCodec.map() : MessagePackCodec.read(request.body());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private Optional<String> get(int port, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                .timeout(Duration.ofSeconds(2))
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? Optional.of(response.body()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int freePort() throws IOException {
        try (var socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static double processorSeconds(long pid) throws IOException {
        String[] fields = Files.readString(Path.of("/proc/" + pid + "/stat")).split(" ");
        return (Long.parseLong(fields[13]) + Long.parseLong(fields[14])) / TICKS_PER_SECOND;
    }

    private static double peakProcessMiB(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
            }
        }
        return Double.NaN;
    }

    /** The heap in use after a full collection. */
    private static double liveHeapMiB(long pid) throws IOException {
        Process histogram = new ProcessBuilder("jmap", "-histo:live", Long.toString(pid)).start();
        String[] lines = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).split("\n");
        return Long.parseLong(lines[lines.length - 1].trim().split("\\s+")[2]) / (double) (1 << 20);
    }
}
