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
 * Three cells under one clock, each a whole simulated cluster, with a network between them that delays, loses, repeats, holds and
 * cuts. Watches over what must hold of jobs that move.
 */
final class SimulatedFederation {
    static final List<String> NAMES = List.of("a", "b", "c");
    private static final int CONTROLLERS = 3;
    final VirtualTime sim;
    final List<SimulatedCluster> cells = new ArrayList<>();
    /** What must never happen, and did. */
    private final List<String> broken;

    private final CellInvariantChecker watch;
    /** Calls between cells by kind. */
    final Map<String, Integer> calls = new TreeMap<>();

    private final Federation[][] federations = new Federation[NAMES.size()][CONTROLLERS];
    /** Cells that do not hear one another, as from * 3 + to. */
    final boolean[] cut = new boolean[NAMES.size() * NAMES.size()];

    private final Duration[] heldUntil = new Duration[NAMES.size() * NAMES.size()];
    /** The part of messages, in either direction, that is held for up to so long. */
    double held;

    Duration heldAtMost = Duration.ofMinutes(2);
    /** The part of requests that arrive once more, later. */
    double repeated;

    double loss;
    /** How often a job may be given away; a test that changes the option changes this too. */
    int mostTransfers = 3;

    Tamper tamper = new Tamper() {};
    private final Random network;

    /** Changes messages on their way, for tests of what cells make of them, and of whether the checks here notice. */
    interface Tamper {
        /** The request that arrives in place of one; null for none. */
        default CellRequest request(int to, CellRequest request) {
            return request;
        }

        /** The answer that arrives in place of one; null for none. */
        default CellReply reply(int from, CellReply reply) {
            return reply;
        }
    }

    SimulatedFederation(long seed, int... machines) {
        this(seed, RandomFaultSchedule.StateService.UNLIMITED, machines);
    }

    /** Cells whose state services all serve in one way. */
    SimulatedFederation(long seed, RandomFaultSchedule.StateService stateService, int... machines) {
        sim = new VirtualTime(seed);
        network = new Random(seed ^ 0x5eedL);
        var jobs = new LinkedHashMap<String, Submission>();
        var done = new HashMap<String, Set<Integer>>();
        var completed = new HashMap<String, Duration>();
        var cancelled = new HashMap<String, Duration>();
        var watch = new CellInvariantChecker(cells);
        broken = watch.broken;
        this.watch = watch;
        for (int cell = 0; cell < NAMES.size(); cell++) {
            int index = cell;
            var surroundings = new SimulatedEnvironment(
                    sim,
                    jobs,
                    done,
                    completed,
                    cancelled,
                    (node, process, context) -> connect(index, node, process, context),
                    watch,
                    Optional.empty());
            ClusterShape shape = ClusterShape.of(machines[cell], 1).withFormat(FormatVersion.DELEGATION_LINKS);
            cells.add(new SimulatedCluster(surroundings, stateService.of(shape)));
        }
        sim.after(500, this::watch);
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
            calls.merge(request.getClass().getSimpleName(), 1, Integer::sum);
            int to = address.charAt(0) - '0';
            int node = address.charAt(2) - '0';
            process.schedule(deadline, () -> result.completeExceptionally(new CellCallException("no answer in time")));
            byte[] body = CellMessageCodec.write(request);
            int copies = network.nextDouble() < repeated ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long late = copy == 0 ? 0 : network.nextInt((int) heldAtMost.toMillis());
                sim.after(delay() + late, () -> arrive(from, to, node, body, process, result));
            }
            return result;
        };
    }

    private long delay() {
        boolean slow = network.nextDouble() < held;
        return 5L + network.nextInt(30) + (slow ? network.nextInt((int) heldAtMost.toMillis()) : 0);
    }

    private void arrive(
            int from,
            int to,
            int node,
            byte[] body,
            VirtualTime.SimulatedProcess asker,
            CompletableFuture<CellReply> result) {
        SimulatedCluster target = cells.get(to);
        Duration until = heldUntil[from * NAMES.size() + to];
        if (until != null && sim.now().compareTo(until) < 0) {
            sim.after(until.minus(sim.now()).plusMillis(1), () -> arrive(from, to, node, body, asker, result));
            return;
        }
        if (cut[from * NAMES.size() + to] || network.nextDouble() < loss || target.processes[node].isDead()) {
            return;
        }
        Federation federation = federations[to][node];
        CellRequest request = tamper.request(to, read(body));
        if (request != null) {
            target.processes[node].arrive(
                    () -> federation.handle(request, reply -> answer(from, to, reply, asker, result)));
        }
    }

    private void answer(
            int from,
            int to,
            CellReply reply,
            VirtualTime.SimulatedProcess asker,
            CompletableFuture<CellReply> result) {
        CellReply sent = tamper.reply(to, reply);
        if (sent == null) {
            return;
        }
        byte[] body = CellMessageCodec.write(sent);
        sim.after(delay(), () -> {
            if (!cut[to * NAMES.size() + from] && network.nextDouble() >= loss) {
                asker.arrive(() -> result.complete(readReply(body)));
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

    /** Cuts two cells off from each other, or joins them again. */
    void cut(int one, int other, boolean yes) {
        cut[one * NAMES.size() + other] = yes;
        cut[other * NAMES.size() + one] = yes;
    }

    /** Requests of one cell to another are held back for a while, and all arrive then. */
    void hold(int from, int to, Duration length) {
        heldUntil[from * NAMES.size() + to] = sim.now().plus(length);
    }

    SimulatedCluster cell(String name) {
        return cells.get(NAMES.indexOf(name));
    }

    /** Everything that is wrong, in any cell or between them. */
    List<String> violations() {
        var all = new ArrayList<>(broken);
        for (SimulatedCluster cell : cells) {
            cell.violations.forEach(what -> all.add(NAMES.get(cells.indexOf(cell)) + ": " + what));
        }
        return all;
    }

    /** How often a job's own cell has given it away, as stored; 0 once it has ended. */
    int transfers(SimulatedCluster home, String job) {
        FakeStateStore.Row row = home.state.rows().get("ds/job/" + job);
        return row == null ? 0 : row.value().path("away").path(3).asInt();
    }

    private void watch() {
        for (SimulatedCluster cell : cells) {
            cell.state.rows().forEach((key, row) -> {
                if (row.value().path("away").path(3).asInt() > mostTransfers) {
                    broken.add("too many transfers: " + key);
                }
            });
        }
        sim.after(500, this::watch);
    }

    /** Where a job's first task completed. */
    String finishedIn(String job) {
        return watch.finishedIn(job);
    }
}
