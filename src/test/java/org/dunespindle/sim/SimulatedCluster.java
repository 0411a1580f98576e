package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dunespindle.api.AdminResponse;
import org.dunespindle.api.UserApi;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.JsonCodec;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/**
 * Runs three real controllers in virtual time against a simulated state store, cloud, workers and an unreliable network, and checks the
 * protocol's invariants meanwhile.
 */
public final class SimulatedCluster {
    static final int SLOTS = 4;
    static final Duration LEASE = Duration.ofSeconds(10);
    static final Duration GANG_TIMEOUT = Duration.ofSeconds(30);
    static final Duration GANG_PEER_TIMEOUT = Duration.ofSeconds(5);
    static final int LIMIT_RED = 10;
    static final int LIMIT_BLUE = 6;
    private static final int CONFLICT = 409;
    /** The state store's highest response time if its rates are limited. */
    private static final int MAX_STATE_DELAY_MILLIS = 80;

    static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(30);
    static final List<String> ZONES = List.of("east", "west");
    public final VirtualTime sim;
    private final MessageDraws draws;
    public final FakeStateStore state;
    final InvariantChecker invariants = new InvariantChecker(this);
    final TaskRuns runs = new TaskRuns(this);
    final FakeCloud cloud = new FakeCloud(this);
    final List<String> violations = new ArrayList<>();
    private final Controller[] controllers = new Controller[3];
    final VirtualTime.SimulatedProcess[] processes = new VirtualTime.SimulatedProcess[3];
    final Map<String, FakeWorker> workers = new TreeMap<>();
    final Map<String, Submission> jobs;
    final Map<String, Set<Integer>> done;
    final Map<String, Duration> cancelled;
    final SimulatedEnvironment environment;
    final SimulatedUsers users = new SimulatedUsers(this);
    private final SimulatedOperators operators;
    final HeartbeatDelivery heartbeats = new HeartbeatDelivery(this);
    final Map<String, String> reportedPhases = new HashMap<>();
    /** The only controller that the state store answers with 503, or -1. */
    public int refusedNode = -1;
    /** Requests to the cloud are lost. */
    public boolean cloudUnreachable;
    /** The next rental takes effect 30 s late and its answer is lost. */
    public boolean delayNextRental;

    private final Set<String> blocked = new HashSet<>();
    /** A controller that can reach its workers, but neither the state store nor the other controllers; or -1. */
    public int isolatedNode = -1;
    /** A controller partitioned from all workers but from nothing else, or -1. */
    public int workerPartitionedNode = -1;
    /** The zone partitioned from everything else, or empty. Regional services (state store, cloud, users) are in no zone. */
    public String partitionedZone = "";
    /** The zone of each controller. */
    public final String[] controllerZones = {"east", "east", "west"};
    /** All messages between controllers are lost. */
    public boolean peersPartitioned;
    /** The one-way links between controllers on which messages are lost, each as {@code from * 3 + to}. */
    final Set<Integer> blockedPeerLinks = new HashSet<>();
    /** The highest additional delay of a message between controllers. */
    public int maxPeerDelayMillis;
    /** How many delayed duplicates of each worker heartbeat arrive, each at most {@link #maxDuplicateDelay} late. */
    public int delayedDuplicates;

    Duration maxDuplicateDelay = Duration.ofSeconds(25);
    /** The newest stored format that each controller announces when it starts. */
    final int[] formats = {
        FormatVersion.NEWEST_WITHOUT_FEATURES,
        FormatVersion.NEWEST_WITHOUT_FEATURES,
        FormatVersion.NEWEST_WITHOUT_FEATURES
    };
    /** The upcoming limits of the state store in the settings of controllers of the newest format, or null. */
    JsonNode nextLimits;

    final ClusterShape shape;
    final int maxMachines;
    final int nameStep;
    /** The fraction of answers that are lost. */
    public double lossRate;
    /** The fraction of messages to workers that are delivered twice. */
    public double duplicateRate;

    /** Copies of commands that workers have carried out and answered before; empty for none. */
    Optional<LateCommandCopies> lateCommandCopies = Optional.empty();
    /** A worker exits a task that has completed as soon as it has its image again, as the protocol says, instead of running it again. */
    boolean workersKeepResults;

    int nextMachine = 1;
    /** The fraction of transactions whose answer is lost and that are applied late, after newer ones. */
    public double lateWriteRate;
    /** The shortest delay of such a transaction. */
    int minLateWriteMillis = 2000;
    /** How much longer than the shortest delay it may take. */
    int lateWriteSpreadMillis = 10_000;
    /** The fraction of jobs that are cancelled within milliseconds of their completion. */
    public double cancelAtCompletionRate;
    /** Every job is polled and resubmitted within 300 ms of its completion. */
    public boolean requestsAtCompletion;
    /** Jobs whose tasks fail as soon as they run. */
    final Set<String> faultyJobs = new HashSet<>();
    /** The number of failed task attempts by job. */
    final Map<String, Integer> errors = new HashMap<>();
    /** The only controller that users send requests to, or -1 for any healthy one. */
    public int userNode = -1;
    /** Whether all faults are over. Invariants that hold only without faults are checked from then on. */
    public boolean faultsOver;
    /** How often each named event occurred. Tests assert that the fault combination under test took place. */
    final Map<String, Integer> events = new TreeMap<>();

    final Set<String> cancelRequested = new HashSet<>();
    final Map<String, Duration> submittedAt = new HashMap<>();
    final Map<String, Duration> startedAt = new HashMap<>();
    /** Tasks that started after the cancellation of their job had been confirmed to the user. */
    final List<String> startsAfterCancel = new ArrayList<>();

    private boolean tasksChanged;

    SimulatedCluster(long seed) {
        this(seed, 7, 1);
    }

    /** Creates a cluster of a given size. A larger name step makes fewer machines share a record. */
    SimulatedCluster(long seed, int maxMachines, int nameStep) {
        this(seed, ClusterShape.of(maxMachines, nameStep));
    }

    /** Creates a stand-alone cluster. */
    SimulatedCluster(long seed, ClusterShape shape) {
        this(SimulatedEnvironment.none(new VirtualTime(seed)), shape);
    }

    /** Creates a cluster whose controllers announce the given stored format when they start. */
    SimulatedCluster(long seed, int maxMachines, int nameStep, int format) {
        this(seed, ClusterShape.of(maxMachines, nameStep).withFormat(format));
    }

    /** Creates a cluster that shares virtual time and the record of jobs with other clusters. */
    SimulatedCluster(SimulatedEnvironment environment, ClusterShape shape) {
        Arrays.fill(formats, shape.format());
        this.shape = shape;
        this.maxMachines = shape.maxMachines();
        this.nameStep = shape.nameStep();
        this.environment = environment;
        jobs = environment.jobs();
        done = environment.done();
        completed = environment.completed();
        cancelled = environment.cancelled();
        sim = environment.sim();
        draws = new MessageDraws(sim.random);
        operators = new SimulatedOperators(sim, node -> controllers[node], violations::add);
        state = new FakeStateStore(sim);
        shape.stateRates().ifPresent(rates -> {
            state.limitRates(rates.requests(), rates.writes());
            maxStateDelayMillis = MAX_STATE_DELAY_MILLIS;
        });
        if (!shape.large()) {
            state.setListener(new StoredAllocations(this));
        }
        if (environment.externalControllers().isEmpty()) {
            for (int i = 0; i < 3; i++) {
                startController(i);
            }
            sim.after(100, this::pollAndCheck);
        }
        if (maxMachines < 100) {
            sim.afterEach(() -> {
                if (tasksChanged) {
                    tasksChanged = false;
                    invariants.checkLimitsAndCancelledTasks();
                    invariants.checkAcceleratorLimits();
                }
            });
        }
    }

    private void startController(int i) {
        var process = sim.new SimulatedProcess();
        processes[i] = process;
        controllers[i] = new Controller(
                ClusterSettings.of(this, i),
                caller(process, i),
                process,
                environment.formats(formats[i]),
                why -> {
                    recordEvent("controller gave up");
                    process.kill();
                },
                context -> environment.connector().connect(i, process, context));
        controllers[i].start();
    }

    /** Adds running machines, alternating between the zones. */
    void addMachines(int count) {
        for (int i = 0; i < count; i++) {
            String id = "i-%04d".formatted(nextMachine);
            nextMachine += nameStep;
            workers.put(id, new FakeWorker(this, id, ZONES.get(i % ZONES.size()), false));
        }
    }

    void addMachine(String id, String zone, boolean spot) {
        workers.put(id, new FakeWorker(this, id, zone, spot));
    }

    /** Additional delay of every message. */
    public int extraDelayMillis;

    /** The highest additional delay of an answer of the state store. */
    public int maxStateDelayMillis;
    /** A controller whose transactions are delayed by {@link #slowWritesMillis} while its reads are not, or -1. */
    public int slowWritesNode = -1;

    public int slowWritesMillis;
    /** A controller whose transactions the state store answers with 429, or -1. */
    public int writesRefusedNode = -1;
    /** Overrides the duration of individual tasks. */
    Function<TaskId, Optional<Duration>> taskDurationOverride = p -> Optional.empty();

    Optional<Duration> completedAt(String id) {
        return Optional.ofNullable(completed.get(id));
    }

    /** Returns when a user first received a final state (done or cancelled) of a job. */
    Optional<Duration> finalStateReportedAt(String id) {
        return users.finalStateReportedAt(id);
    }

    final Map<String, Duration> completed;
    /** The duration of tasks; if empty it is drawn between 2 and 8 s. */
    Optional<Duration> taskDuration = Optional.empty();

    final ControllerCalls calls = new ControllerCalls(3);

    /** Kills a controller and starts a new process of the same name after the pause. */
    void crash(int i, Duration pause) {
        if (processes[i].isDead()) {
            return; // already down: a second restart would start two processes of the same name
        }
        processes[i].kill();
        calls.controllerEnded(i);
        controllers[i] = null;
        sim.after(pause, () -> startController(i));
    }

    /** Freezes a controller for a while; its clocks advance. */
    void freeze(int i, Duration length) {
        processes[i].freeze(length);
    }

    /** Marks the set of tasks on machines as changed, so that limits are checked after the current event. */
    void markTasksChanged() {
        tasksChanged = true;
    }

    void recordEvent(String what) {
        events.merge(what, 1, Integer::sum);
    }

    int nodeIndex(String name) {
        return name.matches("n[0-2]") ? name.charAt(1) - '0' : -1;
    }

    /** Returns the controller that owns a machine according to the state store, or -1. */
    int owner(FakeWorker w) {
        FakeStateStore.Row page = state.rows().get("ds/page/" + w.id.substring(0, w.id.length() - 1));
        return page == null ? -1 : nodeIndex(page.value().path(w.id).path(4).asText());
    }

    /** Returns whether the controller that owns a machine according to the state store is frozen. */
    boolean isOwnerFrozen(FakeWorker w) {
        int owner = owner(w);
        return owner >= 0 && processes[owner].isFrozen();
    }

    /** The number of live machines terminated through the cloud API so far. */
    public int terminatedMachines;

    FakeWorker worker(int index) {
        List<FakeWorker> all = workers.values().stream().filter(w -> !w.dead).toList();
        return all.isEmpty() ? null : all.get(index % all.size());
    }

    void crashMachine(FakeWorker w) {
        w.dead = true;
    }

    /** The number of tasks that wrote a checkpoint when they were stopped. */
    public int checkpointsWritten;

    Duration checkpointTime(TaskId task) {
        return jobs.get(task.job()).checkpointTime();
    }

    /** Terminates a spot machine after an interruption notice. */
    void interruptMachine(FakeWorker w, Duration notice) {
        w.interruptedAt = sim.now().plus(notice);
        sim.after(notice, () -> {
            w.dead = true;
            workers.remove(w.id);
        });
    }

    /** Disconnects a machine for a while: its heartbeats are lost, commands to it are delivered late. */
    void disconnect(FakeWorker w, Duration length) {
        w.disconnected = true;
        sim.after(length, () -> w.disconnected = false);
    }

    /** Blocks all messages between a controller and a machine. */
    void block(int node, FakeWorker w) {
        blocked.add(node + w.id);
    }

    void unblock(int node, FakeWorker w) {
        blocked.remove(node + w.id);
    }

    /** Draws the time that a message takes. */
    long delay() {
        return draws.delay(sim.random, extraDelayMillis);
    }

    private HttpClient caller(VirtualTime.SimulatedProcess owner, int from) {
        return (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            calls.count(from, address, target, body, result);
            owner.schedule(
                    timeout, () -> result.completeExceptionally(new HttpCallException("no answer in time", true)));
            Random random = draws.of(target);
            boolean duplicated = random.nextDouble() < duplicateRate && address.startsWith("worker");
            Runnable deliverUnanswered =
                    () -> deliver(owner, from, address, method, target, body, new CompletableFuture<>());
            if (lateWriteRate > 0 && target.equals("/txn") && sim.random.nextDouble() < lateWriteRate) {
                recordEvent("late write");
                sim.after(minLateWriteMillis + sim.random.nextInt(lateWriteSpreadMillis), deliverUnanswered);
                return result;
            }
            if (target.equals("/orders")) {
                lateCommandCopies.ifPresent(copies -> copies.schedule(result, deliverUnanswered));
            }
            for (int copy = 0; copy < (duplicated ? 2 : 1); copy++) {
                int faultDelay = faultDelayMillis(from, address, target);
                sim.after(
                        draws.delay(random, extraDelayMillis) + faultDelay + (long) copy * random.nextInt(8000),
                        () -> deliver(owner, from, address, method, target, body, result));
            }
            return result;
        };
    }

    private int faultDelayMillis(int from, String address, String target) {
        if (from == slowWritesNode && target.equals("/txn")) {
            return slowWritesMillis;
        }
        return maxPeerDelayMillis > 0 && address.startsWith("node") ? sim.random.nextInt(maxPeerDelayMillis) : 0;
    }

    private boolean partitioned(String one, String other) {
        return !partitionedZone.isEmpty() && one.equals(partitionedZone) != other.equals(partitionedZone);
    }

    private void deliver(
            VirtualTime.SimulatedProcess owner,
            int from,
            String address,
            String method,
            String target,
            byte[] body,
            CompletableFuture<HttpClientResponse> result) {
        FakeWorker worker = address.startsWith("worker") ? workers.get("i-" + address.substring(7)) : null;
        if (isBlocked(from, address, worker)) {
            if (worker != null && !worker.dead) {
                sim.after(500, () -> deliver(owner, from, address, method, target, body, result)); // delivered late
            }
            return;
        }
        if (isLost(from, address, worker)) {
            return;
        }
        if (worker != null && worker.refusesConnections) {
            sim.after(
                    delay(),
                    () -> owner.arrive(
                            () -> result.completeExceptionally(new HttpCallException("connection refused", false))));
            return;
        }
        if (delayNextRental && address.startsWith("cloud") && target.equals("/rentals")) {
            delayNextRental = false; // applied 30 s later, the answer is lost
            sim.after(30_000, () -> deliver(owner, from, address, method, target, body, new CompletableFuture<>()));
            return;
        }
        FakeStateStore.Reply reply;
        try {
            reply = from == refusedNode && address.startsWith("state")
                    ? new FakeStateStore.Reply(503, MessagePackCodec.map())
                    : reply(
                            from,
                            address,
                            method,
                            target,
                            address.startsWith("node")
                                    ? null
                                    : body.length == 0 ? MessagePackCodec.map() : MessagePackCodec.read(body),
                            body,
                            worker);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
        recordConflicts(from, reply);
        Random random = draws.of(target);
        if (reply == null || random.nextDouble() < lossRate) {
            return; // the target is down, or the request was executed and its answer is lost
        }
        byte[] bytes =
                address.startsWith("node") ? JsonCodec.write(reply.body()) : MessagePackCodec.write(reply.body());
        int stateDelay =
                maxStateDelayMillis > 0 && address.startsWith("state") ? random.nextInt(maxStateDelayMillis) : 0;
        sim.after(
                draws.delay(random, extraDelayMillis) + stateDelay,
                () -> owner.arrive(() -> result.complete(new HttpClientResponse(reply.status(), bytes))));
    }

    /** Whether a message is blocked by a partition, a disconnection or a hang. Messages to workers are retried until it ends. */
    private boolean isBlocked(int from, String address, FakeWorker worker) {
        String area = worker != null
                ? worker.zone
                : address.startsWith("node") ? controllerZones[address.charAt(5) - '0'] : "";
        return partitioned(controllerZones[from], area)
                || (worker != null && (worker.disconnected || worker.isHung()) && !worker.dead);
    }

    /** Whether a fault in effect drops a message. */
    private boolean isLost(int from, String address, FakeWorker worker) {
        if (worker != null
                && (blocked.contains(from + worker.id) || worker.cannotReceive || from == workerPartitionedNode)) {
            return true;
        }
        if (address.startsWith("node")
                && (peersPartitioned || blockedPeerLinks.contains(from * 3 + address.charAt(5) - '0'))) {
            return true;
        }
        boolean toIsolated =
                address.startsWith("node") && (from == isolatedNode || address.endsWith(":" + isolatedNode));
        boolean fromIsolated = address.startsWith("state") && from == isolatedNode;
        return fromIsolated || toIsolated || (cloudUnreachable && address.startsWith("cloud"));
    }

    private void recordConflicts(int from, FakeStateStore.Reply reply) {
        if (reply != null && reply.status() == CONFLICT) {
            reply.body().path("failed").forEach(key -> recordEvent("conflict of n" + from + " about " + key.asText()));
        }
    }

    private FakeStateStore.Reply reply(
            int from, String address, String method, String target, JsonNode body, byte[] raw, FakeWorker w) {
        if (address.startsWith("state")) {
            return from == writesRefusedNode && target.equals("/txn")
                    ? FakeStateStore.tooManyRequests()
                    : state.answer(method, target, body);
        }
        if (address.startsWith("cloud")) {
            return cloud.answer(target, body);
        }
        if (address.startsWith("node")) {
            Controller c = controllers[address.charAt(5) - '0'];
            if (c == null) {
                return null;
            }
            if (processes[address.charAt(5) - '0'].isFrozen()) {
                processes[address.charAt(5) - '0'].arrive(
                        () -> c.onPeerHeartbeat(raw)); // processed on waking, after the caller's timeout
                return null;
            }
            return new FakeStateStore.Reply(200, c.onPeerHeartbeat(raw));
        }
        return w == null || w.dead
                ? null
                : target.equals("/inspect") ? new FakeStateStore.Reply(200, w.heartbeat()) : w.commands(body);
    }

    /** Whether a fault in effect drops the messages between a worker and the controller that it sends heartbeats to. */
    boolean dropsHeartbeats(int node, FakeWorker from) {
        return from.disconnected
                || from.dead
                || from.cannotSend
                || node == workerPartitionedNode
                || partitioned(from.zone, controllerZones[node])
                || blocked.contains(node + from.id);
    }

    /** A controller's current process; null while it is down. */
    Controller controller(int node) {
        return controllers[node];
    }

    /** Delivers a worker's heartbeat and returns the status of an immediate answer, or 0. */
    int heartbeatStatus(int node, FakeWorker w) {
        var status = new int[1];
        HeartbeatDelivery.deliver(controllers[node], w.heartbeat(), (code, body) -> status[0] = code);
        return status[0];
    }

    List<FakeWorker> alive() {
        return workers.values().stream().filter(w -> !w.dead).toList();
    }

    /** Returns the leader according to the state store, or -1. */
    int leader() {
        FakeStateStore.Row r = state.rows().get("ds/leader");
        return r == null ? -1 : nodeIndex(r.value().path("node").asText());
    }

    void submit(Submission job) {
        users.submit(job);
    }

    /** Resubmits an accepted job as its user; the answer must show that the job is known, whatever its state. */
    void resubmit(String id) {
        users.resubmit(id);
    }

    void pollJob(String id) {
        users.pollJob(id);
    }

    void pollUnknownJob(String id) {
        users.pollUnknownJob(id);
    }

    /** Cancels a job as its user, retrying until it is confirmed. */
    void cancel(String id) {
        users.cancel(id);
    }

    /** Returns the API of a reachable, healthy controller, drawn at random unless {@link #userNode} is set. */
    Optional<UserApi> reachableApi() {
        int i = userNode >= 0 ? userNode : sim.random.nextInt(3);
        boolean reached = controllers[i] != null
                && !processes[i].isFrozen()
                && !partitioned("", controllerZones[i])
                && controllers[i].isHealthy();
        return reached ? Optional.of(controllers[i].userApi()) : Optional.empty();
    }

    /** Submits a job at one controller; the answer arrives in virtual time. */
    CompletableFuture<UserApi.Answer> submitTo(int node, Submission job) {
        jobs.put(job.id(), job);
        return submitBodyTo(node, job.toNode());
    }

    /** Submits any body, valid or not, at one controller; the answer arrives in virtual time. */
    CompletableFuture<UserApi.Answer> submitBodyTo(int node, ObjectNode body) {
        var result = new CompletableFuture<UserApi.Answer>();
        controllers[node].userApi().submit(MessagePackCodec.write(body), result::complete);
        return result;
    }

    /** Whether a controller runs and is not frozen. */
    boolean isRunning(int node) {
        return controllers[node] != null && !processes[node].isDead() && !processes[node].isFrozen();
    }

    /** Polls a job at one controller; the answer arrives in virtual time. */
    CompletableFuture<UserApi.Answer> pollAsync(int node, String id) {
        var result = new CompletableFuture<UserApi.Answer>();
        controllers[node].userApi().poll(id, result::complete);
        return result;
    }

    String decisions() {
        return operators.decisions();
    }

    /** Cancels a job at one controller, runs 2 s of virtual time and returns the answer. */
    UserApi.Answer cancelAt(int node, String id) {
        var result = new CompletableFuture<UserApi.Answer>();
        controllers[node].userApi().cancel(id, result::complete);
        sim.run(sim.now().plusSeconds(2));
        return result.join();
    }

    void cancelAsync(int node, String id, Consumer<UserApi.Answer> answer) {
        cancelRequested.add(id);
        controllers[node].userApi().cancel(id, answer);
    }

    /** Polls a job at one controller and runs 2 s of virtual time. */
    CompletableFuture<UserApi.Answer> poll(int node, String id) {
        CompletableFuture<UserApi.Answer> result = pollAsync(node, id);
        sim.run(sim.now().plusSeconds(2));
        return result;
    }

    /** Sends a request to a controller's administration API and runs 1 s of virtual time, in which it is answered. */
    CompletableFuture<AdminResponse> admin(int node, String method, String path, String body) {
        return operators.call(node, method, path, body);
    }

    /** Stores operator options through a controller; none may have been stored before. */
    void setOptions(int node, Map<String, Double> values) {
        operators.setOptions(node, values);
    }

    /** Returns when the cancellation of a job was first confirmed to its user. */
    Optional<Duration> cancelledAt(String id) {
        return Optional.ofNullable(cancelled.get(id));
    }

    String lastReportedPhase(String id) {
        return reportedPhases.getOrDefault(id, "");
    }

    private void pollAndCheck() {
        for (String id : jobs.keySet()) {
            if (sim.random.nextInt(20) == 0 && reportedPhases.containsKey(id)) {
                pollJob(id);
            }
        }
        invariants.checkLimitsAndCancelledTasks();
        invariants.checkWaits();
        sim.after(250, this::pollAndCheck);
    }

    boolean isOver(String id) {
        return List.of("done", "cancelled").contains(reportedPhases.getOrDefault(id, ""));
    }
}
