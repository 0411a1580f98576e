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
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
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
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/**
 * Three real controllers in virtual time with stand-ins for state service, cloud and workers, over a
 * network that delays, loses and repeats. Keeps watch over the protocol's rules.
 */
public final class SimulatedCluster {
    static final int SLOTS = 4;
    static final Duration LEASE = Duration.ofSeconds(10);
    static final Duration GANG_WAIT = Duration.ofSeconds(30);
    static final Duration GANG_PEER = Duration.ofSeconds(5);
    static final int QUOTA_RED = 10;
    static final int QUOTA_BLUE = 6;
    private static final int CONFLICT = 409;
    /** The longest that an answer of a state service with scarce rates takes. */
    private static final int SLOW_STATE_MILLIS = 80;

    private static final Duration ANSWER_WITHIN = Duration.ofSeconds(4);
    static final Duration CANCEL = Duration.ofSeconds(30);
    static final List<String> ZONES = List.of("east", "west");
    public final VirtualTime sim;
    public final FakeStateStore state;
    final InvariantChecker rules = new InvariantChecker(this);
    final TaskRuns runs = new TaskRuns(this);
    final FakeCloud cloud = new FakeCloud(this);
    final List<String> broken = new ArrayList<>();
    private final Controller[] nodes = new Controller[3];
    final VirtualTime.SimulatedProcess[] processes = new VirtualTime.SimulatedProcess[3];
    final Map<String, FakeWorker> workers = new TreeMap<>();
    final Map<String, Submission> jobs;
    final Map<String, Set<Integer>> done;
    final Map<String, Duration> cancelled;
    final SimulatedEnvironment surroundings;
    private final SimulatedUsers users = new SimulatedUsers(this);
    private final SimulatedOperators operators;
    final Map<String, String> told = new HashMap<>();
    /** The one controller that the state service refuses, or -1. */
    public int refusedNode = -1;
    /** The cloud answers nothing. */
    public boolean cloudSilent;
    /** The next rental is carried out late and not answered. */
    public boolean lateRentals;

    private final Set<String> blocked = new HashSet<>();
    /** A controller that reaches neither the state service nor the others, only its workers; or -1. */
    public int isolatedNode = -1;
    /** A controller that reaches no worker and is reached by none, though by everybody else; or -1. */
    public int deafNode = -1;
    /** The zone that is cut off from everything, or empty. What is regional is in no zone. */
    public String zoneCut = "";
    /** In which zone each controller is. */
    public final String[] areas = {"east", "east", "west"};
    /** Controllers don't reach one another. */
    public boolean peersRefuse;
    /** Controllers that do not reach one another, as from * 3 + to. */
    final Set<Integer> peersBlocked = new HashSet<>();
    /** The longest that a message between controllers is held on its way. */
    public int peerDelayMillis;
    /** How many more copies of a report come late, and how late at most. */
    public int lateCopies;

    Duration latestCopy = Duration.ofSeconds(25);
    /** The newest stored format that each controller announces when it starts. */
    final int[] formats = {
        FormatVersion.NEWEST_WITHOUT_FEATURES,
        FormatVersion.NEWEST_WITHOUT_FEATURES,
        FormatVersion.NEWEST_WITHOUT_FEATURES
    };
    /** The limits that the state service announces, to controllers of the newest format only, or null. */
    JsonNode nextLimits;

    final ClusterShape shape;
    final int mostMachines;
    final int nameStep;
    public double loss;
    public double repeat;
    int nextMachine = 1;
    /** The part of the transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
    public double lateWrites;
    /** The part of the jobs' ends at whose very moment their users call them off. */
    public double cancelledAtEnd;
    /** Users ask about a job, and repeat its submission, at its very end. */
    public boolean repeatedAtEnd;
    /** Jobs submitted with a mistake: each of their tasks fails as soon as it runs. */
    final Set<String> faultyJobs = new HashSet<>();
    /** Tasks that failed, by job. */
    final Map<String, Integer> errors = new HashMap<>();
    /** The only controller that users reach, or -1 for any that is healthy. */
    public int usersAt = -1;
    /** Whether somebody still makes trouble; what must hold once troubles are over is watched from then on. */
    public boolean calm;
    /** How often what a test is about has happened, by name: a meeting that did not take place proves nothing. */
    final Map<String, Integer> met = new TreeMap<>();

    final Set<String> wantedGone = new HashSet<>();
    final Map<String, Duration> submittedAt = new HashMap<>();
    final Map<String, Duration> begunAt = new HashMap<>();
    /** Tasks that began although their user had been told before that the job is cancelled. */
    final List<String> startsAfterCancel = new ArrayList<>();

    private boolean dirty;

    SimulatedCluster(long seed) {
        this(seed, 7, 1);
    }

    /** A larger cluster; machines' names may be further apart, so that fewer of them share a record. */
    SimulatedCluster(long seed, int mostMachines, int nameStep) {
        this(seed, ClusterShape.of(mostMachines, nameStep));
    }

    /** A cluster of any shape on its own. */
    SimulatedCluster(long seed, ClusterShape shape) {
        this(SimulatedEnvironment.none(new VirtualTime(seed)), shape);
    }

    /** The same with controllers that begin with an older stored format. */
    SimulatedCluster(long seed, int mostMachines, int nameStep, int format) {
        this(seed, ClusterShape.of(mostMachines, nameStep).withFormat(format));
    }

    /** A cluster that shares time, and knowledge of jobs, with others. */
    SimulatedCluster(SimulatedEnvironment surroundings, ClusterShape shape) {
        Arrays.fill(formats, shape.format());
        this.shape = shape;
        this.mostMachines = shape.mostMachines();
        this.nameStep = shape.nameStep();
        this.surroundings = surroundings;
        jobs = surroundings.jobs();
        done = surroundings.done();
        completed = surroundings.completed();
        cancelled = surroundings.cancelled();
        sim = surroundings.sim();
        operators = new SimulatedOperators(sim, node -> nodes[node], broken::add);
        state = new FakeStateStore(sim);
        shape.stateRates().ifPresent(rates -> {
            state.limitRates(rates.requests(), rates.writes());
            slowStateMillis = SLOW_STATE_MILLIS;
        });
        if (!shape.large()) {
            state.listen(new StoredAllocations(this));
        }
        if (surroundings.outside().isEmpty()) {
            for (int i = 0; i < 3; i++) {
                boot(i);
            }
            sim.after(100, this::watch);
        }
        if (mostMachines < 100) {
            sim.afterEach(() -> {
                if (dirty) {
                    dirty = false;
                    rules.quota();
                    rules.accelerators();
                }
            });
        }
    }

    private void boot(int i) {
        var process = sim.new SimulatedProcess();
        processes[i] = process;
        nodes[i] = new Controller(
                ClusterSettings.of(this, i),
                caller(process, i),
                process,
                surroundings.formats(formats[i]),
                why -> {
                    met("cannot go on");
                    process.kill();
                },
                context -> surroundings.connector().connect(i, process, context));
        nodes[i].start();
    }

    /** Machines that are up from the start, in both zones. */
    void provide(int count) {
        for (int i = 0; i < count; i++) {
            String id = "i-%04d".formatted(nextMachine);
            nextMachine += nameStep;
            workers.put(id, new FakeWorker(this, id, ZONES.get(i % ZONES.size()), false));
        }
    }

    /** A machine of a given name that is up from the start. */
    void provide(String id, String zone, boolean spot) {
        workers.put(id, new FakeWorker(this, id, zone, spot));
    }

    /** How much longer every message takes, and the state service's answers. */
    public int slowMillis;

    public int slowStateMillis;
    /** A controller whose transactions take longer to the state service than its questions, or -1. */
    public int slowWritesNode = -1;

    public int slowWritesMillis;
    /** A controller whose transactions the state service refuses as too many, or -1. */
    public int writesRefusedNode = -1;
    /** How long a certain task runs, if not as long as others. */
    Function<TaskId, Optional<Duration>> lengthOf = p -> Optional.empty();
    /** When the last task of a job completed. */
    Optional<Duration> completedAt(String id) {
        return Optional.ofNullable(completed.get(id));
    }

    /** When its user was told first that a job is over. */
    Optional<Duration> toldOverAt(String id) {
        return users.toldOverAt(id);
    }

    final Map<String, Duration> completed;
    /** How long tasks run, if not a few seconds. */
    Optional<Duration> taskTime = Optional.empty();
    /** Calls by kind so far, and changes written. */
    final Map<String, Integer> counts = new TreeMap<>();

    private final int[] open = new int[3];
    /** Most calls to machines that one controller had under way at once. */
    public int mostOpen;

    private void count(
            int from, String address, String target, byte[] body, CompletableFuture<HttpClientResponse> result) {
        String kind = address.substring(0, address.indexOf(':'));
        counts.merge(kind, 1, Integer::sum);
        if (target.equals("/txn")) {
            try {
                counts.merge("writes", MessagePackCodec.read(body).path("apply").size(), Integer::sum);
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }
        if (kind.equals("worker")) {
            mostOpen = Math.max(mostOpen, ++open[from]);
            result.whenComplete((response, e) -> open[from]--);
        }
    }

    /** Kills a controller; a new process of the same name comes after the pause. */
    void crash(int i, Duration pause) {
        if (processes[i].isDead()) {
            return; // it is down already; a second process of its name would come back beside the first
        }
        processes[i].kill();
        open[i] = 0;
        nodes[i] = null;
        sim.after(pause, () -> boot(i));
    }

    /** A controller stands still for a while, its clocks going on. */
    void freeze(int i, Duration length) {
        processes[i].freeze(length);
    }

    /** Something about tasks on machines changed. */
    void changed() {
        dirty = true;
    }

    void met(String what) {
        met.merge(what, 1, Integer::sum);
    }

    int nodeIndex(String name) {
        return name.matches("n[0-2]") ? name.charAt(1) - '0' : -1;
    }

    /** The controller that commands a machine, as stored, or -1. */
    int owner(FakeWorker w) {
        FakeStateStore.Row page = state.rows().get("ds/page/" + w.id.substring(0, w.id.length() - 1));
        return page == null ? -1 : nodeIndex(page.value().path(w.id).path(4).asText());
    }

    /** Whether the controller that commands a machine, as stored, stands still. */
    boolean ownerPauses(FakeWorker w) {
        int owner = owner(w);
        return owner >= 0 && processes[owner].frozen();
    }

    /** Machines returned to the cloud so far that were alive. */
    public int returned;

    FakeWorker worker(int index) {
        List<FakeWorker> all = workers.values().stream().filter(w -> !w.dead).toList();
        return all.isEmpty() ? null : all.get(index % all.size());
    }

    void die(FakeWorker w) {
        w.dead = true;
    }

    /** Tasks that saved when they were stopped. */
    public int saves;

    Duration saveTime(TaskId task) {
        return jobs.get(task.job()).checkpointTime();
    }

    /** The cloud takes a machine away after a notice. */
    void take(FakeWorker w, Duration notice) {
        w.takenAt = sim.now().plus(notice);
        sim.after(notice, () -> {
            w.dead = true;
            workers.remove(w.id);
        });
    }

    /** A machine without network for a while; it is told nothing and heard by nobody, and what was sent arrives late. */
    void cut(FakeWorker w, Duration length) {
        w.cut = true;
        sim.after(length, () -> w.cut = false);
    }

    /** From now on a controller and a machine cannot reach each other. */
    void block(int node, FakeWorker w) {
        blocked.add(node + w.id);
    }

    void unblock(int node, FakeWorker w) {
        blocked.remove(node + w.id);
    }

    private long delay() {
        return 2L + slowMillis + sim.random.nextInt(15) + (sim.random.nextInt(50) == 0 ? 300 : 0);
    }

    private HttpClient caller(VirtualTime.SimulatedProcess owner, int from) {
        return (address, method, target, body, type, timeout) -> {
            var result = new CompletableFuture<HttpClientResponse>();
            count(from, address, target, body, result);
            owner.schedule(
                    timeout, () -> result.completeExceptionally(new HttpCallException("no answer in time", true)));
            boolean twice = sim.random.nextDouble() < repeat && address.startsWith("worker");
            if (lateWrites > 0 && target.equals("/txn") && sim.random.nextDouble() < lateWrites) {
                met("late write");
                sim.after(
                        2000 + sim.random.nextInt(10_000),
                        () -> deliver(owner, from, address, method, target, body, new CompletableFuture<>()));
                return result;
            }
            for (int copy = 0; copy < (twice ? 2 : 1); copy++) {
                int held = heldOnTheWay(from, address, target);
                sim.after(
                        delay() + held + (long) copy * sim.random.nextInt(8000),
                        () -> deliver(owner, from, address, method, target, body, result));
            }
            return result;
        };
    }

    private int heldOnTheWay(int from, String address, String target) {
        if (from == slowWritesNode && target.equals("/txn")) {
            return slowWritesMillis;
        }
        return peerDelayMillis > 0 && address.startsWith("node") ? sim.random.nextInt(peerDelayMillis) : 0;
    }

    private boolean apart(String one, String other) {
        return !zoneCut.isEmpty() && one.equals(zoneCut) != other.equals(zoneCut);
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
        if (isHeldBack(from, address, worker)) {
            if (worker != null && !worker.dead) {
                sim.after(500, () -> deliver(owner, from, address, method, target, body, result)); // delivered late
            }
            return;
        }
        if (isLost(from, address, worker)) {
            return;
        }
        if (lateRentals && address.startsWith("cloud") && target.equals("/rentals")) {
            lateRentals = false; // carried out half a minute later, and never answered
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
        noteConflict(from, reply);
        if (reply == null || sim.random.nextDouble() < loss) {
            return; // executed, or not there; either way no answer comes
        }
        byte[] bytes =
                address.startsWith("node") ? JsonCodec.write(reply.body()) : MessagePackCodec.write(reply.body());
        int slow = slowStateMillis > 0 && address.startsWith("state") ? sim.random.nextInt(slowStateMillis) : 0;
        sim.after(
                delay() + slow,
                () -> owner.arrive(() -> result.complete(new HttpClientResponse(reply.status(), bytes))));
    }

    /** Whether a message waits until a cut or a hang is over; one to a worker is then delivered late. */
    private boolean isHeldBack(int from, String address, FakeWorker worker) {
        String area = worker != null ? worker.zone : address.startsWith("node") ? areas[address.charAt(5) - '0'] : "";
        return apart(areas[from], area) || (worker != null && (worker.cut || worker.hung()) && !worker.dead);
    }

    /** Whether a message never arrives. */
    private boolean isLost(int from, String address, FakeWorker worker) {
        if (worker != null && (blocked.contains(from + worker.id) || worker.oneWay || from == deafNode)) {
            return true;
        }
        if (address.startsWith("node") && (peersRefuse || peersBlocked.contains(from * 3 + address.charAt(5) - '0'))) {
            return true;
        }
        boolean toIsolated =
                address.startsWith("node") && (from == isolatedNode || address.endsWith(":" + isolatedNode));
        boolean fromIsolated = address.startsWith("state") && from == isolatedNode;
        return fromIsolated || toIsolated || (cloudSilent && address.startsWith("cloud"));
    }

    private void noteConflict(int from, FakeStateStore.Reply reply) {
        if (reply != null && reply.status() == CONFLICT) {
            reply.body().path("failed").forEach(key -> met("conflict of n" + from + " about " + key.asText()));
        }
    }

    private FakeStateStore.Reply reply(
            int from, String address, String method, String target, JsonNode body, byte[] raw, FakeWorker w) {
        if (address.startsWith("state")) {
            return from == writesRefusedNode && target.equals("/txn")
                    ? FakeStateStore.tooMany()
                    : state.answer(method, target, body);
        }
        if (address.startsWith("cloud")) {
            return cloud.answer(target, body);
        }
        if (address.startsWith("node")) {
            Controller c = nodes[address.charAt(5) - '0'];
            if (c == null) {
                return null;
            }
            if (processes[address.charAt(5) - '0'].frozen()) {
                processes[address.charAt(5) - '0'].arrive(
                        () -> c.onPeerHeartbeat(raw)); // its asker has given up by then
                return null;
            }
            return new FakeStateStore.Reply(200, c.onPeerHeartbeat(raw));
        }
        return w == null || w.dead
                ? null
                : target.equals("/inspect") ? new FakeStateStore.Reply(200, w.report()) : w.commands(body);
    }

    void toNode(int node, FakeWorker from, ObjectNode report, BiConsumer<Integer, JsonNode> answer) {
        if (surroundings.outside().isPresent()) {
            surroundings.outside().get().report(node, report, answer);
            return;
        }
        for (int copy = 0; copy < lateCopies; copy++) {
            // A late copy arrives whatever has become of the machine meanwhile, and nobody hears what is answered to
            // it.
            sim.after(2000 + sim.random.nextInt((int) latestCopy.toMillis()), () -> {
                if (nodes[node] != null) {
                    Controller late = nodes[node];
                    processes[node].arrive(() -> receive(late, report, (status, body) -> {}));
                }
            });
        }
        if (from.heldReports && !from.mute) {
            // It arrives where it was sent to, whoever leads by then.
            sim.after(from.heldFor, () -> {
                met("held report");
                if (nodes[node] != null) {
                    Controller late = nodes[node];
                    processes[node].arrive(() -> receive(late, report, (status, body) -> {}));
                }
            });
            return;
        }
        VirtualTime.SimulatedProcess target = processes[node];
        Controller c = nodes[node];
        sim.after(delay(), () -> {
            if (from.cut
                    || from.dead
                    || from.mute
                    || node == deafNode
                    || apart(from.zone, areas[node])
                    || blocked.contains(node + from.id)) {
                return;
            }
            if (c == null || target.isDead()) {
                answer.accept(0, MessagePackCodec.map()); // its machine refuses the connection
                return;
            }
            Duration sentAt = sim.now();
            target.arrive(() -> receive(
                    c,
                    report,
                    (status, body) -> sim.after(delay(), () -> {
                        if (sim.now().minus(sentAt).compareTo(ANSWER_WITHIN) < 0
                                && !from.cut
                                && !from.oneWay
                                && !from.dead
                                && sim.random.nextDouble() >= loss) {
                            answer.accept(status, body);
                        }
                    })));
        });
    }

    private static void receive(Controller c, ObjectNode report, BiConsumer<Integer, JsonNode> answer) {
        try {
            c.heartbeatHandler()
                    .onHeartbeat(
                            WorkerHeartbeat.parse(MessagePackCodec.read(MessagePackCodec.write(report))),
                            reply -> answer.accept(reply.status(), reply.body()));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What a controller answers a worker's report at once, or 0. */
    int answer(int node, FakeWorker w) {
        var status = new int[1];
        receive(nodes[node], w.report(), (code, body) -> status[0] = code);
        return status[0];
    }

    /** All machines that live. */
    List<FakeWorker> alive() {
        return workers.values().stream().filter(w -> !w.dead).toList();
    }

    /** The controller that leads as stored, or -1. */
    int leader() {
        FakeStateStore.Row r = state.rows().get("ds/leader");
        return r == null ? -1 : nodeIndex(r.value().path("node").asText());
    }

    // The users

    void submit(Submission job) {
        users.submit(job);
    }

    /** A user repeats a submission; whatever became of the job meanwhile, it is known. */
    void repeat(String id) {
        users.repeat(id);
    }

    /** A user asks how an accepted job stands. */
    void askAbout(String id) {
        users.askAbout(id);
    }

    /** A user asks about a job that nobody submitted. */
    void askForStranger(String id) {
        users.askForStranger(id);
    }

    /** A user calls a job off, until told that it is. */
    void cancel(String id) {
        users.cancel(id);
    }

    /** The API of a controller that users reach now; empty while they reach none. */
    Optional<UserApi> reachable() {
        int i = usersAt >= 0 ? usersAt : sim.random.nextInt(3);
        boolean reached = nodes[i] != null && !processes[i].frozen() && !apart("", areas[i]) && nodes[i].isHealthy();
        return reached ? Optional.of(nodes[i].userApi()) : Optional.empty();
    }

    /** Offers a job to one controller, whose answer comes in virtual time. */
    CompletableFuture<UserApi.Answer> offerTo(int node, Submission job) {
        jobs.put(job.id(), job);
        return offer(node, job.toNode());
    }

    /** The same with whatever body a user may send. */
    CompletableFuture<UserApi.Answer> offer(int node, ObjectNode body) {
        var result = new CompletableFuture<UserApi.Answer>();
        nodes[node].userApi().submit(MessagePackCodec.write(body), result::complete);
        return result;
    }

    /** A question at one controller, whose answer comes in virtual time. */
    CompletableFuture<UserApi.Answer> question(int node, String id) {
        var result = new CompletableFuture<UserApi.Answer>();
        nodes[node].userApi().poll(id, result::complete);
        return result;
    }

    /** What all controllers decided lately, in words. */
    String decisions() {
        return operators.decisions();
    }

    /** A cancellation at one controller, answered within the next seconds of virtual time. */
    UserApi.Answer cancelAt(int node, String id) {
        var result = new CompletableFuture<UserApi.Answer>();
        nodes[node].userApi().cancel(id, result::complete);
        sim.run(sim.now().plusSeconds(2));
        return result.join();
    }

    /** The same without waiting for the answer. */
    void cancelAsked(int node, String id, Consumer<UserApi.Answer> answer) {
        wantedGone.add(id);
        nodes[node].userApi().cancel(id, answer);
    }

    /** A poll at one controller, as a status. */
    CompletableFuture<UserApi.Answer> poll(int node, String id) {
        CompletableFuture<UserApi.Answer> result = question(node, id);
        sim.run(sim.now().plusSeconds(2));
        return result;
    }

    /** Asks a controller's administration API; the answer comes within the next second of virtual time. */
    CompletableFuture<AdminResponse> admin(int node, String method, String path, String body) {
        return operators.call(node, method, path, body);
    }

    /** Has a controller store some of the operators' settings, which nobody has changed before. */
    void setOptions(int node, Map<String, Double> values) {
        operators.setOptions(node, values);
    }

    /** What a job's user was told last, if that was that it is cancelled, and when first. */
    Optional<Duration> cancelledAt(String id) {
        return Optional.ofNullable(cancelled.get(id));
    }

    String lastTold(String id) {
        return told.getOrDefault(id, "");
    }

    private void watch() {
        for (String id : jobs.keySet()) {
            if (sim.random.nextInt(20) == 0 && told.containsKey(id)) {
                askAbout(id);
            }
        }
        rules.quota();
        rules.waits();
        sim.after(250, this::watch);
    }

    boolean over(String id) {
        return List.of("done", "cancelled").contains(told.getOrDefault(id, ""));
    }
}
