package org.dunespindle.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.SubmissionBuilder;

/** A run of a cluster with a few overlapping faults drawn from a seed. A seed always gives the same run. */
final class RandomFaultSchedule {
    /** All faults have ended by this time; the last delayed messages arrive soon after. */
    static final Duration OVER = Duration.ofSeconds(130);

    static final Duration END = Duration.ofSeconds(420);
    private static final int MACHINES_ASKED = 3;
    private static final double REQUESTS = 250;
    private static final double WRITES = 20;

    /** The load that the state store accepts from all controllers together. */
    enum StateService {
        /** No rate limit, no additional delay. */
        UNLIMITED,
        /** Requests beyond the rate limits are rejected, and answers are delayed. */
        SCARCE_AND_SLOW;

        ClusterShape of(ClusterShape shape) {
            return this == SCARCE_AND_SLOW ? shape.withStateRates(REQUESTS, WRITES) : shape;
        }
    }

    /** A fault that ends by itself after a random time. */
    enum Trouble {
        LEADER_WITHOUT_STATE_AND_PEERS,
        LEADER_REFUSED,
        STATE_OUT,
        ZONE_CUT,
        ONE_CRASHES,
        ALL_CRASH,
        LEADERS_CHANGE,
        STANDS_STILL,
        MUTE,
        DEAF,
        HANG,
        MACHINES_CUT,
        LATE_WRITES,
        LATE_REPORTS,
        HELD_REPORTS,
        CANCEL_NOW,
        CANCEL_AT_END,
        ODD_REQUESTS,
        BLOCKED,
        PEERS_REFUSE,
        LOSS,
        LATE_RENTAL,
        DIES,
        TAKEN,
        LEADER_DEAF
    }

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<String> ids = new ArrayList<>();
    private final List<String> story = new ArrayList<>();

    RandomFaultSchedule(long seed, StateService stateService) {
        // One seed in four stores a record for each machine; in the others up to ten machines share a record.
        ClusterShape shape = ClusterShape.of(7, seed % 4 == 1 ? 10 : 1);
        cluster = new SimulatedCluster(seed, stateService.of(shape));
        random = new Random(seed * 31 + 7);
        if (seed % 3 == 2) {
            cluster.lengthOf = p -> Optional.of(Duration.ofSeconds(5 + p.index() * 11L % 30));
        }
    }

    SimulatedCluster cluster() {
        return cluster;
    }

    /** Returns the injected faults with their times, for the message of a failed assertion. */
    List<String> story() {
        return story;
    }

    List<String> ids() {
        return ids;
    }

    /** Submits jobs of all kinds: with and without zone, same-zone and spread constraints, on spot and other machines, with and without checkpoints. */
    void submitJobs(int count) {
        for (int i = 0; i < count; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            boolean gang = i % 3 == 0;
            int tasks = gang ? 1 + random.nextInt(4) : 2 + random.nextInt(6);
            boolean apart = !gang && i % 5 == 4;
            Optional<String> zone = i % 7 == 2 && !apart ? Optional.of(i % 2 == 0 ? "east" : "west") : Optional.empty();
            Duration saves = i % 4 == 1 ? Duration.ofSeconds(5) : Duration.ZERO;
            var job = SubmissionBuilder.submission(id)
                    .jobClass(gang ? "gang" : "array")
                    .team(i % 2 == 0 ? "red" : "blue")
                    .kind(gang ? JobKind.GANG : JobKind.ARRAY)
                    .priority(gang ? Priority.URGENT : Priority.LOW)
                    .tasks(tasks)
                    .zone(zone)
                    .sameZone(gang && i % 2 == 0)
                    .spread(apart)
                    .spot(i % 4 != 0)
                    .image("image-" + tasks % 2)
                    .imageGb(2)
                    .estimate(Duration.ofSeconds(5))
                    .checkpointInterval(saves)
                    .checkpointTime(saves.isZero() ? saves : Duration.ofSeconds(3))
                    .build();
            cluster.sim.after(500L + i * 3500L + random.nextInt(1500), () -> cluster.submit(job));
        }
    }

    /** Schedules a fault. */
    void add(Trouble trouble, Duration at) {
        cluster.sim.after(at, () -> {
            story.add(cluster.sim.now().toMillis() + " ms: " + trouble);
            cluster.met(trouble.name());
            begin(trouble);
        });
    }

    /** Schedules an action of a test. */
    void at(Duration at, Runnable what) {
        cluster.sim.after(at, what);
    }

    /** Schedules random faults within 15 s of one another, so that they overlap. */
    void addAny(int count) {
        Trouble[] all = Trouble.values();
        int from = 8000 + random.nextInt(25_000);
        for (int i = 0; i < count; i++) {
            add(all[random.nextInt(all.length)], Duration.ofMillis(from + random.nextInt(15_000)));
        }
    }

    /** Runs the schedule and returns the violated invariants, the failed criteria of the run and the unfinished jobs. */
    List<String> play() {
        cluster.sim.after(OVER, () -> cluster.faultsOver = true);
        cluster.sim.run(END);
        var wrong = new ArrayList<>(cluster.broken);
        wrong.addAll(cluster.rules.failedCriteria());
        for (String id : ids) {
            if (!List.of("done", "cancelled").contains(cluster.lastTold(id))) {
                wrong.add(id + " is " + cluster.lastTold(id));
            }
        }
        return wrong;
    }

    int leader() {
        return Math.max(0, cluster.leader());
    }

    private Duration millis(int least, int most) {
        return Duration.ofMillis(least + random.nextInt(most - least));
    }

    private void until(Duration length, Runnable end) {
        cluster.sim.after(length, end);
    }

    private List<FakeWorker> someMachines() {
        var some = new ArrayList<FakeWorker>();
        for (int i = 0; i < 1 + random.nextInt(MACHINES_ASKED); i++) {
            FakeWorker w = cluster.worker(random.nextInt(50));
            if (w != null) {
                some.add(w);
            }
        }
        return some;
    }

    /** Starts a fault. Each fault belongs to one of the groups; the others ignore it. */
    private void begin(Trouble trouble) {
        controllerTrouble(trouble);
        machineTrouble(trouble);
        messageTrouble(trouble);
        userTrouble(trouble);
    }

    private void controllerTrouble(Trouble trouble) {
        switch (trouble) {
            case LEADER_WITHOUT_STATE_AND_PEERS -> {
                cluster.isolatedNode = leader();
                until(millis(6000, 45_000), () -> cluster.isolatedNode = -1);
            }
            case LEADER_REFUSED -> {
                cluster.refusedNode = leader();
                until(millis(2000, 40_000), () -> cluster.refusedNode = -1);
            }
            case STATE_OUT -> {
                cluster.state.out = true;
                until(millis(4000, 45_000), cluster.state::recover);
            }
            case ZONE_CUT -> {
                cluster.partitionedZone = random.nextBoolean() ? "east" : "west";
                until(millis(6000, 30_000), () -> cluster.partitionedZone = "");
            }
            case ONE_CRASHES -> cluster.crash(random.nextInt(3), millis(50, 9000));
            case ALL_CRASH -> {
                for (int n = 0; n < 3; n++) {
                    cluster.crash(n, millis(50, 12_000));
                }
            }
            case LEADERS_CHANGE -> {
                for (int k = 0; k < 6; k++) {
                    cluster.sim.after(millis(0, 45_000), () -> cluster.crash(leader(), millis(50, 900)));
                }
            }
            case STANDS_STILL -> cluster.freeze((leader() + random.nextInt(2)) % 3, millis(2000, 20_000));
            case PEERS_REFUSE -> {
                cluster.peersPartitioned = true;
                until(millis(5000, 40_000), () -> cluster.peersPartitioned = false);
            }
            case LEADER_DEAF -> {
                cluster.workerPartitionedNode = leader();
                until(millis(8000, 40_000), () -> cluster.workerPartitionedNode = -1);
            }
            default -> {}
        }
    }

    private void machineTrouble(Trouble trouble) {
        switch (trouble) {
            case MUTE ->
                someMachines().forEach(w -> {
                    w.cannotSend(true);
                    until(millis(5000, 45_000), () -> w.cannotSend(false));
                });
            case DEAF ->
                someMachines().forEach(w -> {
                    w.cannotReceive(true);
                    until(millis(5000, 45_000), () -> w.cannotReceive(false));
                });
            case HANG -> someMachines().forEach(w -> w.hang(millis(2000, 25_000)));
            case MACHINES_CUT -> someMachines().forEach(w -> cluster.disconnect(w, millis(2000, 30_000)));
            case HELD_REPORTS ->
                someMachines().forEach(w -> {
                    w.delayHeartbeats(millis(3000, 25_000));
                    until(millis(3000, 15_000), () -> w.delayHeartbeats(Duration.ZERO));
                });
            case BLOCKED -> {
                List<FakeWorker> some = someMachines();
                int node = random.nextInt(3);
                some.forEach(w -> cluster.block(node, w));
                until(millis(10_000, 60_000), () -> some.forEach(w -> cluster.unblock(node, w)));
            }
            case DIES -> someMachines().stream().limit(1).forEach(cluster::crashMachine);
            case TAKEN ->
                someMachines().stream()
                        .filter(w -> w.interruptedAt == null)
                        .forEach(w -> cluster.interruptMachine(w, millis(6000, 14_000)));
            default -> {}
        }
    }

    private void messageTrouble(Trouble trouble) {
        switch (trouble) {
            case LATE_WRITES -> {
                cluster.lateWrites = 0.1 + random.nextDouble() * 0.3;
                until(millis(10_000, 50_000), () -> cluster.lateWrites = 0);
            }
            case LATE_REPORTS -> {
                cluster.delayedDuplicates = 2;
                until(millis(20_000, 60_000), () -> cluster.delayedDuplicates = 0);
            }
            case LOSS -> {
                cluster.lossRate = 0.03;
                cluster.duplicateRate = 0.1;
                until(millis(10_000, 50_000), () -> {
                    cluster.lossRate = 0;
                    cluster.duplicateRate = 0;
                });
            }
            case LATE_RENTAL -> cluster.delayNextRental = true;
            default -> {}
        }
    }

    private void userTrouble(Trouble trouble) {
        switch (trouble) {
            case CANCEL_NOW -> {
                ids.stream()
                        .filter(id -> cluster.lastTold(id).equals("running"))
                        .limit(4)
                        .forEach(id -> cluster.sim.after(random.nextInt(200), () -> cluster.cancel(id)));
                if (random.nextBoolean()) {
                    someMachines().forEach(w -> w.hang(millis(2000, 25_000)));
                }
            }
            case CANCEL_AT_END -> {
                cluster.cancelAtCompletionRate = 0.5;
                until(millis(20_000, 50_000), () -> cluster.cancelAtCompletionRate = 0);
            }
            case ODD_REQUESTS -> {
                for (int k = 0; k < 20; k++) {
                    String id = ids.get(random.nextInt(ids.size()));
                    cluster.sim.after(millis(0, 40_000), () -> cluster.resubmit(id));
                    cluster.sim.after(millis(0, 40_000), () -> cluster.pollUnknownJob("wk-9" + random.nextInt(9999)));
                    cluster.sim.after(millis(0, 40_000), () -> {
                        if (cluster.lastTold(id).equals("done")) {
                            cluster.cancel(id);
                        }
                    });
                }
            }
            default -> {}
        }
    }
}
