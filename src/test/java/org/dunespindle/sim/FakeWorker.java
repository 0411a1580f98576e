package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.TaskId;

/** A simulated worker: fencing tokens, lease sessions, and tasks that fetch their image, wait for their gang, run and exit. */
public final class FakeWorker {
    private static final Duration FETCH_TIME = Duration.ofSeconds(2);
    final String id;
    final String zone;
    final boolean spot;
    private final SimulatedCluster cluster;
    private final VirtualTime sim;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long session = 1;
    private long heartbeatCount;
    private long token;
    private Duration leaseFrom;
    private int node;
    boolean dead;
    boolean disconnected;
    /** When the cloud terminates the machine; null before the spot interruption notice. */
    Duration interruptedAt;
    /** Cannot receive: its heartbeats arrive, but answers and commands to it are lost. */
    boolean cannotReceive;
    /** Cannot send heartbeats: all of them are lost, while commands reach it and are answered. */
    boolean cannotSend;
    /** Loses its network, and every connection to or from it fails at once, so that nothing is sent. */
    boolean refusesConnections;
    /** Every task on it fails. */
    boolean faulty;
    /** Its heartbeats arrive {@link #heartbeatDelay} late, after it has stopped waiting for their answers. */
    boolean delaysHeartbeats;

    Duration heartbeatDelay = Duration.ZERO;
    /** The attempts that were started in this session, forgotten ones too. */
    private final Set<String> startedInSession = new HashSet<>();

    private Duration hungSince = Duration.ZERO;
    private Duration hungUntil = Duration.ZERO;

    /** Returns the controller that it sends heartbeats to. */
    int reportsTo() {
        return node;
    }

    /** An attempt to run a task on the machine. */
    final class Task {
        final TaskId task;
        final long attempt;
        /** When the start command arrived. */
        final Duration commandedAt = cluster.sim.now();

        String phase = "pulling";
        String cause = "";
        Duration endsAt = Duration.ofDays(1);
        Duration gatherUntil = Duration.ofDays(1);
        Duration checkpointDoneAt = Duration.ofDays(1);
        boolean saved;

        Task(TaskId task, long attempt) {
            this.task = task;
            this.attempt = attempt;
        }

        boolean onMachine() {
            return !phase.equals("exited") && !phase.equals("pulling");
        }

        String host() {
            return id;
        }

        void exit(String why) {
            phase = "exited";
            cause = why;
            cluster.markTasksChanged();
        }
    }

    FakeWorker(SimulatedCluster cluster, String id, String zone, boolean spot) {
        this.cluster = cluster;
        this.sim = cluster.sim;
        this.id = id;
        this.zone = zone;
        this.spot = spot;
        this.leaseFrom = sim.now();
        this.node = sim.random.nextInt(3);
        sim.after(sim.random.nextInt(1000), this::beat);
        sim.after(100, this::step);
    }

    Iterable<Task> tasks() {
        return tasks.values();
    }

    void cannotReceive(boolean yes) {
        cannotReceive = yes;
    }

    /** Delays its heartbeats by the given time from now on; zero ends the delay. */
    void delayHeartbeats(Duration length) {
        delaysHeartbeats = !length.isZero();
        heartbeatDelay = length;
    }

    /** Returns session, token, controller and lease age for debugging. */
    String state() {
        return id + "/session " + session + "/token " + token + "/at n" + node + "/lease "
                + sim.now().minus(leaseFrom).toMillis();
    }

    /** Returns the number of slots occupied by tasks that have not exited, including those fetching their image. */
    long occupiedSlots() {
        return tasks.values().stream().filter(t -> !t.phase.equals("exited")).count();
    }

    void faulty(boolean yes) {
        faulty = yes;
    }

    void cannotSend(boolean yes) {
        cannotSend = yes;
    }

    /** Hangs: its tasks make no progress and messages to it are delayed, but its lease still expires. */
    void hang(Duration length) {
        hungSince = sim.now();
        hungUntil = sim.now().plus(length);
        sim.after(length.plusMillis(1), this::expireLeaseIfDue); // before messages sent during the hang are processed
        tasks.values().forEach(t -> {
            if (t.phase.equals("running")) {
                t.endsAt = t.endsAt.plus(length);
            }
        });
    }

    boolean isHung() {
        return sim.now().compareTo(hungUntil) <= 0 && hungUntil.compareTo(Duration.ZERO) > 0;
    }

    /** Whether it has hung for longer than the timeout after which other gang members abort. */
    boolean hangNoticed() {
        return isHung() && sim.now().minus(hungSince).compareTo(SimulatedCluster.GANG_PEER_TIMEOUT) > 0;
    }

    private void expireLeaseIfDue() {
        if (sim.now().minus(leaseFrom).compareTo(SimulatedCluster.LEASE) > 0) {
            tasks.clear();
            startedInSession.clear();
            session++;
            leaseFrom = sim.now();
            cluster.markTasksChanged();
        }
    }

    boolean dead() {
        return dead;
    }

    String id() {
        return id;
    }

    /** Whether a task of a job holds its place on the machine (neither fetching its image nor exited). */
    boolean hasTaskOf(String job) {
        return tasks.values().stream()
                .anyMatch(t -> t.onMachine() && t.task.job().equals(job));
    }

    /** Whether any attempt of a task is on the machine and has not exited, including while it waits for its image. */
    boolean holds(TaskId task) {
        return tasks.values().stream().anyMatch(t -> t.task.equals(task) && !t.phase.equals("exited"));
    }

    /** Returns the number of lease expiries plus one. */
    long session() {
        return session;
    }

    String address() {
        return cluster.environment
                .externalControllers()
                .map(externalControllers -> externalControllers.addressOf(this))
                .orElseGet(() -> "worker:" + id.substring(2));
    }

    ObjectNode heartbeat() {
        ObjectNode n = MessagePackCodec.map()
                .put("host", id)
                .put("address", address())
                .put("hull", "box")
                .put("dune", zone)
                .put("driftwood", spot)
                .put("tenure", session)
                .put("tick", ++heartbeatCount)
                .put("baton", token);
        if (interruptedAt != null) {
            n.put("warningS", interruptedAt.minus(sim.now()).toMillis() / 1000.0);
        }
        var list = n.putArray("pieces");
        for (Task t : tasks.values()) {
            ObjectNode p = list.addObject()
                    .put("piece", t.task.toString())
                    .put("try", t.attempt)
                    .put("phase", t.phase);
            if (t.phase.equals("exited")) {
                p.put("cause", t.cause);
                if (t.saved) {
                    p.put("saved", true);
                }
            }
        }
        return n;
    }

    private void beat() {
        if (dead) {
            return;
        }
        if (isHung()) {
            sim.after(200, this::beat);
            return;
        }
        long sentIn = session;
        Duration sentAt = sim.now();
        var done = new boolean[1];
        cluster.heartbeats.send(node, this, heartbeat(), (status, body) -> {
            if (done[0] || isHung()) {
                return;
            }
            done[0] = true;
            if (status == 200 && sentIn == session && body.path("baton").asLong() >= token) {
                token = body.path("baton").asLong();
                leaseFrom = sentAt;
                execute(body.path("orders"));
                sim.after(800 + sim.random.nextInt(400), this::beat);
            } else if (status == 421
                    && cluster.nodeIndex(body.path("steward").asText()) >= 0
                    && cluster.nodeIndex(body.path("steward").asText()) != node) {
                node = cluster.nodeIndex(body.path("steward").asText());
                sim.after(100, this::beat);
            } else {
                node = status == 200 ? node : (node + 1) % 3;
                sim.after(1000, this::beat);
            }
        });
        sim.after(4000, () -> {
            if (!done[0]) {
                done[0] = true;
                node = (node + 1) % 3;
                sim.after(1000, this::beat);
            }
        });
    }

    FakeStateStore.Reply commands(JsonNode body) {
        if (body.path("baton").asLong() < token || body.path("tenure").asLong() != session) {
            cluster.recordEvent("refused command");
            return new FakeStateStore.Reply(409, heartbeat());
        }
        token = body.path("baton").asLong();
        execute(body.path("orders"));
        return new FakeStateStore.Reply(200, heartbeat());
    }

    private void execute(JsonNode commands) {
        for (JsonNode o : commands) {
            TaskId task = TaskId.parse(o.path("piece").asText()).orElseThrow();
            String key = task + "#" + o.path("try").asLong();
            Task t = tasks.get(key);
            switch (o.path("verb").asText()) {
                case "run" -> {
                    if (t == null) {
                        checkNotStartedBefore(task, key);
                        start(task, o.path("try").asLong(), key);
                    } else {
                        cluster.recordEvent("start of a known attempt");
                    }
                }
                case "halt" -> {
                    Duration linger = Duration.ofMillis(o.path("lingerS").asLong() * 1000);
                    if (t != null
                            && t.phase.equals("running")
                            && cluster.checkpointTime(task).compareTo(Duration.ZERO) > 0
                            && linger.compareTo(cluster.checkpointTime(task)) >= 0) {
                        t.phase = "saving";
                        t.checkpointDoneAt = sim.now().plus(cluster.checkpointTime(task));
                    } else if (t != null
                            && !t.phase.equals("exited")
                            && !(t.phase.equals("saving") && linger.compareTo(Duration.ZERO) > 0)) {
                        t.exit("stopped");
                    }
                }
                default -> {
                    if (t != null && t.phase.equals("exited")) {
                        tasks.remove(key);
                    }
                }
            }
        }
    }

    /** Checks that no late copy of a command starts an attempt that has ended here. A task that has completed isn't run again. */
    private void checkNotStartedBefore(TaskId task, String key) {
        if (!startedInSession.add(key) && !isCompleted(task)) {
            cluster.violations.add("started again: %s on %s".formatted(key, id));
        }
    }

    private boolean isCompleted(TaskId task) {
        return cluster.done.getOrDefault(task.job(), Set.of()).contains(task.index());
    }

    private void start(TaskId task, long attempt, String key) {
        Task t = new Task(task, attempt);
        tasks.put(key, t);
        boolean alreadyRunning =
                tasks.values().stream().anyMatch(o -> o != t && o.task.equals(task) && !o.phase.equals("exited"));
        long used = tasks.values().stream()
                .filter(o -> o != t && !o.phase.equals("exited"))
                .count();
        if (alreadyRunning) {
            t.exit("busy");
        } else if (used >= SimulatedCluster.SLOTS) {
            t.exit("no_room");
        } else {
            fetch(FETCH_TIME, t, key, task);
        }
    }

    private void fetch(Duration time, Task t, String key, TaskId task) {
        sim.after(time, () -> {
            if (isHung()) {
                fetch(Duration.ofMillis(200), t, key, task);
                return;
            }
            boolean waitsForImage = t.phase.equals("pulling") && tasks.get(key) == t && !dead;
            if (waitsForImage && cluster.workersKeepResults && isCompleted(task)) {
                t.exit("done");
            } else if (waitsForImage) {
                t.phase = cluster.runs.isGang(task) ? "gathering" : "running";
                t.endsAt = sim.now()
                        .plus(cluster.taskDurationOverride
                                .apply(task)
                                .or(() -> cluster.taskDuration)
                                .orElse(Duration.ofMillis(2000 + sim.random.nextInt(6000))));
                t.gatherUntil = sim.now().plus(SimulatedCluster.GANG_TIMEOUT);
                cluster.invariants.checkStart(this, t);
                cluster.markTasksChanged();
            }
        });
    }

    private void step() {
        if (dead) {
            return;
        }
        if (isHung()) {
            sim.after(100, this::step);
            return;
        }
        expireLeaseIfDue();
        for (Task t : tasks.values()) {
            if (t.phase.equals("gathering")) {
                if (cluster.runs.isGangComplete(t)) {
                    cluster.runs.startGang(t);
                } else if (sim.now().compareTo(t.gatherUntil) > 0) {
                    t.exit("incomplete");
                }
            } else if (t.phase.equals("saving")) {
                if (sim.now().compareTo(t.checkpointDoneAt) >= 0) {
                    t.saved = true;
                    cluster.checkpointsWritten++;
                    t.exit("stopped");
                }
            } else if (t.phase.equals("running")) {
                if (faulty || cluster.faultyJobs.contains(t.task.job())) {
                    cluster.errors.merge(t.task.job(), 1, Integer::sum);
                    t.exit("error");
                } else if (cluster.runs.isGang(t.task) && !cluster.runs.isGangIntact(t)) {
                    t.exit("peers");
                } else if (sim.now().compareTo(t.endsAt) >= 0) {
                    cluster.runs.finished(t);
                }
            }
        }
        sim.after(100, this::step);
    }
}
