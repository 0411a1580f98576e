package org.dunespindle.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.federation.CellCallException;
import org.dunespindle.federation.CellMessageCodec;
import org.dunespindle.federation.CellReply;
import org.dunespindle.federation.CellRequest;
import org.dunespindle.federation.CellTransport;
import org.dunespindle.federation.Federation;
import org.dunespindle.federation.FederationSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.FormatVersion;

/**
 * Three simulated clusters in virtual time, federated over a network that can delay, lose, duplicate and block messages. Checks the
 * invariants of delegated jobs.
 */
final class SimulatedFederation {
    static final List<String> NAMES = List.of("a", "b", "c");
    private static final int CONTROLLERS = 3;
    final VirtualTime sim;
    final List<SimulatedCluster> cells = new ArrayList<>();
    /** Violated invariants between cells. */
    private final List<String> violations;

    private final CellInvariantChecker checker;
    /** The number of calls between cells, by type of request. */
    final Map<String, Integer> callsByType = new TreeMap<>();

    private final Federation[][] federations = new Federation[NAMES.size()][CONTROLLERS];
    /** Whether messages from one cell to another are blocked, at index from * 3 + to. */
    final boolean[] blocked = new boolean[NAMES.size() * NAMES.size()];

    private final Duration[] delayedUntil = new Duration[NAMES.size() * NAMES.size()];
    /** The probability that a request or a reply is delayed. */
    double delayProbability;

    /** The maximum delay of delayed messages and of duplicates. */
    Duration maxDelay = Duration.ofMinutes(2);
    /** The probability that a request arrives a second time, later. */
    double duplicateProbability;

    double lossProbability;
    /** How often a job may be delegated; a test that changes the option has to change this too. */
    int maxTransfers = 3;

    MessageInterceptor interceptor = new MessageInterceptor() {};
    private final Random network;

    /** Changes messages in transit, to test how cells handle them and whether the invariant checks detect violations. */
    interface MessageInterceptor {
        /** Returns the request to deliver instead; null to drop it. */
        default CellRequest request(int to, CellRequest request) {
            return request;
        }

        /** Returns the reply to deliver instead; null to drop it. */
        default CellReply reply(int from, CellReply reply) {
            return reply;
        }
    }

    SimulatedFederation(long seed, int... machines) {
        this(seed, RandomFaultSchedule.StateService.UNLIMITED, machines);
    }

    /** Creates cells whose state stores have the same limits. */
    SimulatedFederation(long seed, RandomFaultSchedule.StateService stateService, int... machines) {
        sim = new VirtualTime(seed);
        network = new Random(seed ^ 0x5eedL);
        var jobs = new LinkedHashMap<String, Submission>();
        var done = new HashMap<String, Set<Integer>>();
        var completed = new HashMap<String, Duration>();
        var cancelled = new HashMap<String, Duration>();
        var checker = new CellInvariantChecker(cells);
        violations = checker.violations;
        this.checker = checker;
        for (int cell = 0; cell < NAMES.size(); cell++) {
            int index = cell;
            var environment = new SimulatedEnvironment(
                    sim,
                    jobs,
                    done,
                    completed,
                    cancelled,
                    (node, process, context) -> connect(index, node, process, context),
                    checker,
                    Optional.empty());
            ClusterShape shape = ClusterShape.of(machines[cell], 1).withFormat(FormatVersion.DELEGATION_LINKS);
            cells.add(new SimulatedCluster(environment, stateService.of(shape)));
        }
        sim.after(500, this::checkTransfers);
    }

    private JobDelegation connect(int cell, int node, VirtualTime.SimulatedProcess process, DelegationContext context) {
        var random = new Random(sim.random.nextLong());
        federations[cell][node] = new Federation(context, settings(cell), transport(cell, process), random);
        return federations[cell][node];
    }

    private static FederationSettings settings(int self) {
        var others = new ArrayList<FederationSettings.RemoteCell>();
        for (int cell = 0; cell < NAMES.size(); cell++) {
            if (cell != self) {
                var controllers = new LinkedHashMap<String, String>();
                for (int node = 0; node < CONTROLLERS; node++) {
                    controllers.put("n" + node, cell + ":" + node);
                }
                others.add(new FederationSettings.RemoteCell(NAMES.get(cell), controllers));
            }
        }
        return new FederationSettings(NAMES.get(self), 0, others);
    }

    private CellTransport transport(int from, VirtualTime.SimulatedProcess process) {
        return (address, request, deadline) -> {
            var result = new CompletableFuture<CellReply>();
            callsByType.merge(request.getClass().getSimpleName(), 1, Integer::sum);
            int to = address.charAt(0) - '0';
            int node = address.charAt(2) - '0';
            process.schedule(
                    deadline,
                    () -> result.completeExceptionally(new CellCallException("no reply before the deadline")));
            byte[] body = CellMessageCodec.write(request);
            int copies = network.nextDouble() < duplicateProbability ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long extraDelay = copy == 0 ? 0 : network.nextInt((int) maxDelay.toMillis());
                sim.after(delay() + extraDelay, () -> deliver(from, to, node, body, process, result));
            }
            return result;
        };
    }

    private long delay() {
        boolean slow = network.nextDouble() < delayProbability;
        return 5L + network.nextInt(30) + (slow ? network.nextInt((int) maxDelay.toMillis()) : 0);
    }

    private void deliver(
            int from,
            int to,
            int node,
            byte[] body,
            VirtualTime.SimulatedProcess caller,
            CompletableFuture<CellReply> result) {
        SimulatedCluster target = cells.get(to);
        Duration until = delayedUntil[from * NAMES.size() + to];
        if (until != null && sim.now().compareTo(until) < 0) {
            sim.after(until.minus(sim.now()).plusMillis(1), () -> deliver(from, to, node, body, caller, result));
            return;
        }
        if (blocked[from * NAMES.size() + to]
                || network.nextDouble() < lossProbability
                || target.processes[node].isDead()) {
            return;
        }
        Federation federation = federations[to][node];
        CellRequest request = interceptor.request(to, read(body));
        if (request != null) {
            target.processes[node].arrive(
                    () -> federation.handle(request, reply -> answer(from, to, reply, caller, result)));
        }
    }

    private void answer(
            int from,
            int to,
            CellReply reply,
            VirtualTime.SimulatedProcess caller,
            CompletableFuture<CellReply> result) {
        CellReply sent = interceptor.reply(to, reply);
        if (sent == null) {
            return;
        }
        byte[] body = CellMessageCodec.write(sent);
        sim.after(delay(), () -> {
            if (!blocked[to * NAMES.size() + from] && network.nextDouble() >= lossProbability) {
                caller.arrive(() -> result.complete(readReply(body)));
            }
        });
    }

    private static CellRequest read(byte[] body) {
        try {
            return CellMessageCodec.readRequest(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static CellReply readReply(byte[] body) {
        try {
            return CellMessageCodec.readReply(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts or ends a partition between two cells, in both directions. */
    void setPartitioned(int one, int other, boolean partitioned) {
        blocked[one * NAMES.size() + other] = partitioned;
        blocked[other * NAMES.size() + one] = partitioned;
    }

    /** Delays all requests of one cell to another until the given time has passed. */
    void delayRequests(int from, int to, Duration length) {
        delayedUntil[from * NAMES.size() + to] = sim.now().plus(length);
    }

    SimulatedCluster cell(String name) {
        return cells.get(NAMES.indexOf(name));
    }

    /** All violated invariants, within cells and between them. */
    List<String> violations() {
        var all = new ArrayList<>(violations);
        for (SimulatedCluster cell : cells) {
            cell.violations.forEach(what -> all.add(NAMES.get(cells.indexOf(cell)) + ": " + what));
        }
        return all;
    }

    /** How often the origin has delegated a job, as stored; 0 once the job has ended. */
    int transfers(SimulatedCluster origin, String job) {
        FakeStateStore.Row row = origin.state.rows().get("ds/job/" + job);
        return row == null ? 0 : row.value().path("away").path(3).asInt();
    }

    private void checkTransfers() {
        for (SimulatedCluster cell : cells) {
            cell.state.rows().forEach((key, row) -> {
                if (row.value().path("away").path(3).asInt() > maxTransfers) {
                    violations.add("too many transfers: " + key);
                }
            });
        }
        sim.after(500, this::checkTransfers);
    }

    /** The cell in which a job's first task completed; empty if it did not. */
    String finishedIn(String job) {
        return checker.finishedIn(job);
    }
}
