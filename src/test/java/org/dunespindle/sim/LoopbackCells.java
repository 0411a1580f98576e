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
 * Three cells of three real controllers each on loopback, with real sockets between all parts. State services, clouds and workers are
 * the stand-ins of the simulation, whose clock follows real time on a thread of their own.
 */
final class LoopbackCells implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int CONTROLLERS = 3;
    /** More workers than this, returned ones included, are not reached. */
    private static final int WORKER_PORTS = 16;

    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    /** Several builds on one machine begin at different places. */
    private static int nextPort = (int) (ProcessHandle.current().pid() * 131 % PORTS);

    private static final int BODY_LIMIT = 1 << 20;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
    private static final long PACE_MILLIS = 5;
    private static final String JSON = "application/json";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ConnectionBudget connections = new ConnectionBudget(4000);
    private final NettyHttpClient http;
    private final VirtualTime sim = new VirtualTime(1);
    private final long origin = System.nanoTime();
    final List<Cell> cells = new ArrayList<>();
    final CellInvariantChecker watch;
    private final Starter starter;
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(BooleanSupplier condition, CompletableFuture<Void> met) {}

    /** One cell: its stand-ins and its controllers. */
    final class Cell implements SimulatedEnvironment.ExternalControllers {
        final String name;
        SimulatedCluster standIns;
        final Running[] controllers = new Running[CONTROLLERS];
        final int[] front = new int[CONTROLLERS];
        final int[] peer = new int[CONTROLLERS];
        final int[] federation = new int[CONTROLLERS];
        private final Map<String, Integer> workerPorts = new HashMap<>();
        private final List<Integer> freePorts = new ArrayList<>();
        private int statePort;
        private int cloudPort;
        /** How long the state service takes for each answer. */
        Duration stateDelay = Duration.ZERO;

        Cell(String name) throws IOException {
            this.name = name;
            for (int node = 0; node < CONTROLLERS; node++) {
                front[node] = freePort();
                peer[node] = freePort();
                federation[node] = freePort();
            }
        }

        @Override
        public String addressOf(FakeWorker worker) {
            return HOST + ":" + workerPorts.computeIfAbsent(worker.id(), id -> freePorts.remove(0));
        }

        @Override
        public void sendHeartbeat(int node, ObjectNode report, BiConsumer<Integer, JsonNode> answer) {
            call(front[node], "POST", "/agent/beat", MessagePackCodec.write(report), MessagePackCodec.TYPE)
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
                            () -> answer.accept(
                                    reply(standIns.state.answer(call.method(), target(call), body(call))))));
            cloudPort =
                    listen(0, (call, answer) -> answer.accept(reply(standIns.cloud.answer(target(call), body(call)))));
            for (int i = 0; i < WORKER_PORTS; i++) {
                var port = new int[1];
                port[0] = listen(0, (call, answer) -> answer.accept(worker(port[0], call)));
                freePorts.add(port[0]);
            }
        }

        private HttpServerResponse worker(int port, HttpServerRequest call) {
            for (FakeWorker worker : standIns.alive()) {
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
                            .formatted(other, HOST, peer[other]));
                }
            }
            JsonNode file = TestSettings.node(
                    "n" + node,
                    HOST + ":" + front[node],
                    HOST + ":" + peer[node],
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
                        controllers.put("n" + k, HOST + ":" + other.federation[k]);
                    }
                    others.add(new FederationSettings.RemoteCell(other.name, controllers));
                }
            }
            return new FederationSettings(name, federation[node], others);
        }

        /** The controller that leads, as stored; -1 if none does. */
        int leader() {
            return standIns.leader();
        }

        /** Submits a job until it is accepted, and asks about it until it is over. */
        void submit(Submission job) {
            standIns.jobs.put(job.id(), job);
            offer(job, 0);
        }

        private void offer(Submission job, int node) {
            call(front[node], "POST", "/submissions", MessagePackCodec.write(job.toNode()), MessagePackCodec.TYPE)
                    .whenComplete((reply, failure) -> {
                        if (failure == null && (reply.status() == 200 || reply.status() == 201)) {
                            standIns.reportedPhases.put(job.id(), "queued");
                            poll(job.id(), node);
                        } else {
                            sim.after(500, () -> offer(job, (node + 1) % CONTROLLERS));
                        }
                    });
        }

        private void poll(String id, int node) {
            call(front[node], "GET", "/submissions/" + id, new byte[0], MessagePackCodec.TYPE)
                    .whenComplete((reply, failure) -> {
                        String phase = failure == null && reply.status() == 200
                                ? parsed(reply).path("phase").asText()
                                : standIns.lastReportedPhase(id);
                        standIns.reportedPhases.put(id, phase);
                        if (!standIns.isOver(id)) {
                            sim.after(300, () -> poll(id, (node + 1) % CONTROLLERS));
                        }
                    });
        }

        /** Changes one of the operators' settings. */
        void set(String option, double value) throws Exception {
            HttpClientResponse now = await(admin(0, "GET", "/v1/options", MessagePackCodec.map()));
            ObjectNode change =
                    MessagePackCodec.map().put("stamp", json(now).path("stamp").asLong());
            change.putObject("values").put(option, value);
            HttpClientResponse set = await(admin(0, "PUT", "/v1/options", change));
            if (set.status() != 200) {
                throw new IllegalStateException(option + " is not taken: " + json(set));
            }
        }

        /** Asks a controller's administration API. */
        CompletableFuture<HttpClientResponse> admin(int node, String method, String path, ObjectNode body) {
            byte[] bytes = method.equals("GET")
                    ? new byte[0]
                    : body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            return call(peer[node], method, path, bytes, JSON);
        }
    }

    /** A controller that runs, in this process or in one of its own. */
    interface Running extends AutoCloseable {
        @Override
        void close();
    }

    /** Starts one controller. */
    interface Starter {
        Running start(String cell, JsonNode settings, FederationSettings federation) throws Exception;
    }

    /** Controllers that are part of this process. */
    static final Starter IN_PROCESS = (cell, settings, federation) ->
            new Daemon(Settings.parse(settings), Optional.of(new FederationExtension(federation)))::close;

    LoopbackCells(int... machines) throws Exception {
        this(IN_PROCESS, machines);
    }

    LoopbackCells(Starter starter, int... machines) throws Exception {
        this.starter = starter;
        http = new NettyHttpClient(group.next(), 200, connections);
        var standIns = new ArrayList<SimulatedCluster>();
        watch = new CellInvariantChecker(standIns);
        var shared = SimulatedEnvironment.none(sim);
        for (String name : SimulatedFederation.NAMES) {
            cells.add(new Cell(name));
        }
        for (int index = 0; index < cells.size(); index++) {
            Cell cell = cells.get(index);
            var surroundings = new SimulatedEnvironment(
                    sim,
                    shared.jobs(),
                    shared.done(),
                    shared.completed(),
                    shared.cancelled(),
                    shared.connector(),
                    watch,
                    Optional.of(cell));
            cell.standIns = new SimulatedCluster(
                    surroundings, ClusterShape.of(machines[index], 1).withFormat(FormatVersion.DELEGATION_LINKS));
            standIns.add(cell.standIns);
            cell.serve();
        }
        group.next().scheduleAtFixedRate(this::pump, PACE_MILLIS, PACE_MILLIS, TimeUnit.MILLISECONDS);
        for (Cell cell : cells) {
            for (int node = 0; node < CONTROLLERS; node++) {
                cell.start(node);
            }
        }
    }

    /** The simulation's clock follows the real one; whoever waits for something is told once it is so. */
    private void pump() {
        sim.run(Duration.ofNanos(System.nanoTime() - origin));
        waiting.removeIf(one -> one.condition.getAsBoolean() && one.met.complete(null));
    }

    /** Runs something on the stand-ins' thread. */
    <T> T on(Callable<T> work) throws Exception {
        return await(group.next().submit(work));
    }

    /** Waits until something holds, as seen on the stand-ins' thread. */
    void await(String what, Duration within, BooleanSupplier condition) throws Exception {
        var met = new CompletableFuture<Void>();
        group.next().execute(() -> waiting.add(new Waiting(condition, met)));
        try {
            met.get(within.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError("within " + within.toSeconds() + " s it did not come to this: " + what, e);
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
                BODY_LIMIT,
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
                reply.status(), MessagePackCodec.TYPE, MessagePackCodec.write(reply.body()), Optional.empty());
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

    /** A JSON answer of the administration API. */
    static JsonNode json(HttpClientResponse response) throws IOException {
        return new ObjectMapper().readTree(response.body());
    }

    /**
     * A port that nobody listens on, below those that the system gives to outgoing connections: between the choice and its use none of
     * those can take it.
     */
    private static int freePort() throws IOException {
        for (int tries = 0; tries < PORTS; tries++) {
            int port = FIRST_PORT + Math.floorMod(nextPort++, PORTS);
            try (var socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(HOST, port));
                return port;
            } catch (BindException e) {
                // Somebody else uses it: the next one is tried.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    /** What must never happen, and did. */
    List<String> violations() {
        var all = new ArrayList<>(watch.broken);
        cells.forEach(cell -> all.addAll(cell.standIns.violations));
        return all;
    }

    /** Jobs whose tasks have all completed. */
    Set<String> completed() {
        return Set.copyOf(cells.get(0).standIns.completed.keySet());
    }

    @Override
    public void close() {
        for (Cell cell : cells) {
            for (Running controller : cell.controllers) {
                if (controller != null) {
                    controller.close();
                }
            }
        }
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
