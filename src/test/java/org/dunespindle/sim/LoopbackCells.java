package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.dunespindle.Daemon;
import org.dunespindle.FederationExtension;
import org.dunespindle.TestSettings;
import org.dunespindle.federation.FederationSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.transport.ConnectionBudget;
import org.dunespindle.transport.HttpClientResponse;
import org.dunespindle.transport.HttpServerRequest;
import org.dunespindle.transport.HttpServerResponse;
import org.dunespindle.transport.NettyHttpClient;
import org.dunespindle.transport.NettyHttpServer;

/**
 * Three cells of three real controllers each on the loopback interface, with real sockets between all parts. State stores, clouds and
 * workers are those of the simulation, whose clock follows real time on a thread of its own.
 */
final class LoopbackCells implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int CONTROLLERS = 3;
    /** The maximum number of workers of a cell, terminated ones included. */
    private static final int MAX_WORKERS = 16;

    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    /** Depends on the process id, so that concurrent test runs on one machine start at different ports. */
    private static int nextPort = (int) (ProcessHandle.current().pid() * 131 % PORT_COUNT);

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
    private static final long ADVANCE_INTERVAL_MILLIS = 5;
    private static final String JSON = "application/json";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ConnectionBudget connections = new ConnectionBudget(4000);
    private final NettyHttpClient http;
    private final VirtualTime sim = new VirtualTime(1);
    private final long startNanos = System.nanoTime();
    final List<Cell> cells = new ArrayList<>();
    final CellInvariantChecker checker;
    private final ControllerStarter starter;
    private final List<PendingCondition> pendingConditions = new ArrayList<>();

    private record PendingCondition(BooleanSupplier condition, CompletableFuture<Void> fulfilled) {}

    /** One cell: its simulated surroundings and its controllers. */
    final class Cell implements SimulatedEnvironment.ExternalControllers {
        final String name;
        SimulatedCluster cluster;
        final RunningController[] controllers = new RunningController[CONTROLLERS];
        final int[] userApiPorts = new int[CONTROLLERS];
        final int[] peerPorts = new int[CONTROLLERS];
        final int[] federationPorts = new int[CONTROLLERS];
        private final Map<String, Integer> workerPorts = new HashMap<>();
        private final List<Integer> freePorts = new ArrayList<>();
        private int statePort;
        private int cloudPort;
        /** The delay of each reply of the state store. */
        Duration stateDelay = Duration.ZERO;

        Cell(String name) throws IOException {
            this.name = name;
            for (int node = 0; node < CONTROLLERS; node++) {
                userApiPorts[node] = freePort();
                peerPorts[node] = freePort();
                federationPorts[node] = freePort();
            }
        }

        @Override
        public String addressOf(FakeWorker worker) {
            return HOST + ":" + workerPorts.computeIfAbsent(worker.id(), id -> freePorts.remove(0));
        }

        @Override
        public void sendHeartbeat(int node, ObjectNode heartbeat, BiConsumer<Integer, JsonNode> answer) {
            call(
                            userApiPorts[node],
                            "POST",
                            "/agent/beat",
                            MessagePackCodec.write(heartbeat),
                            MessagePackCodec.CONTENT_TYPE)
                    .whenComplete((reply, failure) -> {
                        if (failure == null) {
                            answer.accept(reply.status(), parsed(reply));
                        } else {
                            answer.accept(0, MessagePackCodec.map());
                        }
                    });
        }

        private void serve() throws InterruptedException {
            statePort = listen(
                    0,
                    (call, answer) -> sim.after(
                            stateDelay,
                            () -> answer.accept(reply(cluster.state.answer(call.method(), target(call), body(call))))));
            cloudPort =
                    listen(0, (call, answer) -> answer.accept(reply(cluster.cloud.answer(target(call), body(call)))));
            for (int i = 0; i < MAX_WORKERS; i++) {
                var port = new int[1];
                port[0] = listen(0, (call, answer) -> answer.accept(worker(port[0], call)));
                freePorts.add(port[0]);
            }
        }

        private HttpServerResponse worker(int port, HttpServerRequest call) {
            for (FakeWorker worker : cluster.alive()) {
                if (workerPorts.getOrDefault(worker.id(), -1) == port) {
                    return reply(
                            call.path().equals("/inspect")
                                    ? new FakeStateStore.Reply(200, worker.heartbeat())
                                    : worker.commands(body(call)));
                }
            }
            return reply(new FakeStateStore.Reply(404, MessagePackCodec.map()));
        }

        void start(int node) throws Exception {
            var seeds = new StringBuilder();
            for (int other = 0; other < CONTROLLERS; other++) {
                if (other != node) {
                    seeds.append("[[seeds]]\nnode_name = \"n%d\"\narea = \"east\"\naddress = \"%s:%d\"\n"
                            .formatted(other, HOST, peerPorts[other]));
                }
            }
            JsonNode file = TestSettings.node(
                    "n" + node,
                    HOST + ":" + userApiPorts[node],
                    HOST + ":" + peerPorts[node],
                    HOST + ":" + cloudPort,
                    HOST + ":" + statePort,
                    seeds.toString());
            controllers[node] = starter.start(name, file, settings(node));
        }

        private FederationSettings settings(int node) {
            var others = new ArrayList<FederationSettings.RemoteCell>();
            for (Cell other : cells) {
                if (other != this) {
                    var controllers = new LinkedHashMap<String, String>();
                    for (int k = 0; k < CONTROLLERS; k++) {
                        controllers.put("n" + k, HOST + ":" + other.federationPorts[k]);
                    }
                    others.add(new FederationSettings.RemoteCell(other.name, controllers));
                }
            }
            return new FederationSettings(name, federationPorts[node], others);
        }

        /** The stored leader's number; -1 if there is none. */
        int leader() {
            return cluster.leader();
        }

        /** Submits a job, retrying until it is accepted, and polls it until it has ended. */
        void submit(Submission job) {
            cluster.jobs.put(job.id(), job);
            trySubmit(job, 0);
        }

        private void trySubmit(Submission job, int node) {
            call(
                            userApiPorts[node],
                            "POST",
                            "/submissions",
                            MessagePackCodec.write(job.toNode()),
                            MessagePackCodec.CONTENT_TYPE)
                    .whenComplete((reply, failure) -> {
                        if (failure == null && (reply.status() == 200 || reply.status() == 201)) {
                            cluster.reportedPhases.put(job.id(), "queued");
                            poll(job.id(), node);
                        } else {
                            sim.after(500, () -> trySubmit(job, (node + 1) % CONTROLLERS));
                        }
                    });
        }

        private void poll(String id, int node) {
            call(userApiPorts[node], "GET", "/submissions/" + id, new byte[0], MessagePackCodec.CONTENT_TYPE)
                    .whenComplete((reply, failure) -> {
                        String phase = failure == null && reply.status() == 200
                                ? parsed(reply).path("phase").asText()
                                : cluster.lastReportedPhase(id);
                        cluster.reportedPhases.put(id, phase);
                        if (!cluster.isOver(id)) {
                            sim.after(300, () -> poll(id, (node + 1) % CONTROLLERS));
                        }
                    });
        }

        /** Sets an operator option. */
        void set(String option, double value) throws Exception {
            HttpClientResponse now = await(admin(0, "GET", "/v1/options", MessagePackCodec.map()));
            ObjectNode change =
                    MessagePackCodec.map().put("stamp", json(now).path("stamp").asLong());
            change.putObject("values").put(option, value);
            HttpClientResponse set = await(admin(0, "PUT", "/v1/options", change));
            if (set.status() != 200) {
                throw new IllegalStateException("option " + option + " was not accepted: " + json(set));
            }
        }

        /** Calls a controller's administration API. */
        CompletableFuture<HttpClientResponse> admin(int node, String method, String path, ObjectNode body) {
            byte[] bytes = method.equals("GET")
                    ? new byte[0]
                    : body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            return call(peerPorts[node], method, path, bytes, JSON);
        }
    }

    /** A running controller, in this process or in one of its own. */
    interface RunningController extends AutoCloseable {
        @Override
        void close();
    }

    /** Starts one controller. */
    interface ControllerStarter {
        RunningController start(String cell, JsonNode settings, FederationSettings federation) throws Exception;
    }

    /** Starts controllers in this process. */
    static final ControllerStarter IN_PROCESS = (cell, settings, federation) ->
            new Daemon(Settings.parse(settings), Optional.of(new FederationExtension(federation)))::close;

    LoopbackCells(int... machines) throws Exception {
        this(IN_PROCESS, machines);
    }

    LoopbackCells(ControllerStarter starter, int... machines) throws Exception {
        this.starter = starter;
        http = new NettyHttpClient(group.next(), 200, connections);
        var clusters = new ArrayList<SimulatedCluster>();
        checker = new CellInvariantChecker(clusters);
        var shared = SimulatedEnvironment.none(sim);
        for (String name : SimulatedFederation.NAMES) {
            cells.add(new Cell(name));
        }
        for (int index = 0; index < cells.size(); index++) {
            Cell cell = cells.get(index);
            var environment = new SimulatedEnvironment(
                    sim,
                    shared.jobs(),
                    shared.done(),
                    shared.completed(),
                    shared.cancelled(),
                    shared.connector(),
                    checker,
                    Optional.of(cell));
            cell.cluster = new SimulatedCluster(
                    environment, ClusterShape.of(machines[index], 1).withFormat(FormatVersion.DELEGATION_LINKS));
            clusters.add(cell.cluster);
            cell.serve();
        }
        group.next()
                .scheduleAtFixedRate(
                        this::advance, ADVANCE_INTERVAL_MILLIS, ADVANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        for (Cell cell : cells) {
            for (int node = 0; node < CONTROLLERS; node++) {
                cell.start(node);
            }
        }
    }

    /** Advances the simulation to the real time, and completes the futures of conditions that hold now. */
    private void advance() {
        sim.run(Duration.ofNanos(System.nanoTime() - startNanos));
        pendingConditions.removeIf(pending -> pending.condition.getAsBoolean() && pending.fulfilled.complete(null));
    }

    /** Runs an action on the simulation's thread. */
    <T> T on(Callable<T> work) throws Exception {
        return await(group.next().submit(work));
    }

    /** Waits until a condition holds; it is evaluated on the simulation's thread. */
    void await(String description, Duration timeout, BooleanSupplier condition) throws Exception {
        var fulfilled = new CompletableFuture<Void>();
        group.next().execute(() -> pendingConditions.add(new PendingCondition(condition, fulfilled)));
        try {
            fulfilled.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError("timed out after " + timeout.toSeconds() + " s waiting for: " + description, e);
        }
    }

    private static <T> T await(java.util.concurrent.Future<T> future) throws Exception {
        try {
            return future.get(20, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private int listen(int port, NettyHttpServer.Handler handler) throws InterruptedException {
        var channel = NettyHttpServer.open(
                group,
                new InetSocketAddress(HOST, port),
                MAX_BODY_BYTES,
                handler,
                status -> reply(new FakeStateStore.Reply(status, MessagePackCodec.map())),
                connections);
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private CompletableFuture<HttpClientResponse> call(int port, String method, String path, byte[] body, String type) {
        var result = new CompletableFuture<HttpClientResponse>();
        group.next()
                .execute(() -> http.send(HOST + ":" + port, method, path, body, type, CALL_TIMEOUT)
                        .whenComplete((reply, failure) -> {
                            if (failure == null) {
                                result.complete(reply);
                            } else {
                                result.completeExceptionally(failure);
                            }
                        }));
        return result;
    }

    private static HttpServerResponse reply(FakeStateStore.Reply reply) {
        return new HttpServerResponse(
                reply.status(), MessagePackCodec.CONTENT_TYPE, MessagePackCodec.write(reply.body()), Optional.empty());
    }

    private static String target(HttpServerRequest call) {
        return call.query() == null || call.query().isEmpty() ? call.path() : call.path() + "?" + call.query();
    }

    private static JsonNode body(HttpServerRequest call) {
        try {
            return call.body().length == 0 ? MessagePackCodec.map() : MessagePackCodec.read(call.body());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JsonNode parsed(HttpClientResponse response) {
        try {
            return MessagePackCodec.read(response.body());
        } catch (MalformedMessageException e) {
            return MessagePackCodec.map();
        }
    }

    /** Parses a JSON response of the administration API. */
    static JsonNode json(HttpClientResponse response) throws IOException {
        return new ObjectMapper().readTree(response.body());
    }

    /**
     * Finds a free port below the ephemeral range, so that no outgoing connection can occupy it before it is used.
     */
    private static int freePort() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + Math.floorMod(nextPort++, PORT_COUNT);
            try (var socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(HOST, port));
                return port;
            } catch (BindException e) {
                // The port is in use; try the next one.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    /** All violations of invariants, within cells and between them. */
    List<String> violations() {
        var all = new ArrayList<>(checker.violations);
        cells.forEach(cell -> all.addAll(cell.cluster.violations));
        return all;
    }

    /** The ids of jobs whose tasks have all completed. */
    Set<String> completed() {
        return Set.copyOf(cells.get(0).cluster.completed.keySet());
    }

    @Override
    public void close() {
        for (Cell cell : cells) {
            for (RunningController controller : cell.controllers) {
                if (controller != null) {
                    controller.close();
                }
            }
        }
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
