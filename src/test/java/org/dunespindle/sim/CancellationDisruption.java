package org.dunespindle.sim;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A disruption of the processes that decide about cancelled tasks: what happens, and to which of them. */
record CancellationDisruption(Kind kind, Target target) {
    private static final int CONTROLLERS = 3;
    /** The longest outage or cut, longer than the cancellation timeout. */
    private static final Duration MAX_CUT = SimulatedCluster.CANCEL_TIMEOUT.plusSeconds(8);

    /** What happens. */
    enum Kind {
        /** The process ends and another one of its name starts. */
        END,
        /** The process stands still while its clocks run on. */
        PAUSE,
        /** The state service answers with 503. */
        REFUSED,
        /** The process loses the state service and the other controllers. */
        ISOLATED,
        /** The process reaches no worker. */
        CUT_FROM_WORKERS,
        /** The controllers lose one another. */
        CUT_FROM_PEERS
    }

    /** The controllers concerned, as they are when the disruption begins. */
    enum Target {
        LEADER,
        /** The owner of the hanging machine, as stored. */
        OWNER,
        /** A controller that is neither, if there is one. */
        OTHER,
        ALL
    }

    /** All disruptions that leave at least one controller able to act. */
    static List<CancellationDisruption> all() {
        return Stream.of(Kind.values())
                .flatMap(kind -> targets(kind).stream().map(target -> new CancellationDisruption(kind, target)))
                .toList();
    }

    private static List<Target> targets(Kind kind) {
        return switch (kind) {
            case END, PAUSE, REFUSED -> List.of(Target.values());
            case ISOLATED, CUT_FROM_WORKERS -> List.of(Target.LEADER, Target.OWNER, Target.OTHER);
            case CUT_FROM_PEERS -> List.of(Target.ALL);
        };
    }

    /** Begins the disruption, which ends by itself after a drawn time. */
    void begin(SimulatedCluster cluster, FakeWorker hanging, Random random) {
        for (int node : nodes(cluster, hanging, random)) {
            begin(cluster, node, random);
        }
    }

    private List<Integer> nodes(SimulatedCluster cluster, FakeWorker hanging, Random random) {
        int leader = Math.max(0, cluster.leader());
        int owner = Math.max(0, cluster.owner(hanging));
        List<Integer> others = IntStream.range(0, CONTROLLERS)
                .filter(node -> node != leader && node != owner)
                .boxed()
                .toList();
        return switch (target) {
            case LEADER -> List.of(leader);
            case OWNER -> List.of(owner);
            case OTHER -> List.of(others.get(random.nextInt(others.size())));
            case ALL ->
                kind == Kind.END || kind == Kind.PAUSE
                        ? IntStream.range(0, CONTROLLERS).boxed().toList()
                        : List.of(-1);
        };
    }

    private void begin(SimulatedCluster cluster, int node, Random random) {
        Duration cut = RandomDurations.between(random, Duration.ofSeconds(1), MAX_CUT);
        switch (kind) {
            case END ->
                cluster.crash(node, RandomDurations.between(random, Duration.ofMillis(50), Duration.ofSeconds(6)));
            case PAUSE -> {
                if (cluster.isRunning(node)) {
                    cluster.freeze(node, RandomDurations.between(random, Duration.ofSeconds(2), Duration.ofSeconds(9)));
                }
            }
            case REFUSED -> refuse(cluster, node, cut);
            case ISOLATED -> {
                cluster.isolatedNode = node;
                cluster.sim.after(cut, () -> cluster.isolatedNode = -1);
            }
            case CUT_FROM_WORKERS -> {
                cluster.workerPartitionedNode = node;
                cluster.sim.after(cut, () -> cluster.workerPartitionedNode = -1);
            }
            case CUT_FROM_PEERS -> {
                cluster.peersPartitioned = true;
                cluster.sim.after(cut, () -> cluster.peersPartitioned = false);
            }
            default -> throw new IllegalStateException("unknown disruption " + kind);
        }
    }

    private void refuse(SimulatedCluster cluster, int node, Duration length) {
        if (target == Target.ALL) {
            cluster.state.unavailable = true;
            cluster.sim.after(length, cluster.state::recover);
        } else {
            cluster.refusedNode = node;
            cluster.sim.after(length, () -> cluster.refusedNode = -1);
        }
    }

    /** A hash that is the same in every run, for seeds. */
    int hashOfNames() {
        return toString().hashCode();
    }

    @Override
    public String toString() {
        return kind + " of " + target;
    }
}
