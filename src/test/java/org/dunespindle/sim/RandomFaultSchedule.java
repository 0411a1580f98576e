package org.dunespindle.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.SubmissionBuilder;

/** A run of a cluster with a few overlapping faults drawn from a seed. A seed always gives the same run. */
final class RandomFaultSchedule {
    /** All faults have ended by this time; the last delayed messages arrive soon after. */
    static final Duration FAULTS_OVER = Duration.ofSeconds(130);

    static final Duration RUN_LENGTH = Duration.ofSeconds(420);
    private static final int MAX_AFFECTED_MACHINES = 3;
    private static final int MAX_CANCELLED_JOBS = 6;
    private static final int REMEMBERED_JOBS = 40;
    private static final Duration HISTORY_REQUEST_INTERVAL = Duration.ofMillis(400);
    private static final double REQUESTS_PER_SECOND = 250;
    private static final double WRITES_PER_SECOND = 20;

    /** The load that the state store accepts from all controllers together. */
    enum StateService {
        /** No rate limit, no additional delay. */
        UNLIMITED,
        /** Requests beyond the rate limits are rejected, and answers are delayed. */
        LIMITED_AND_SLOW;

        /** The load limits of a seed in tests that alternate between them. */
        static StateService alternating(long seed) {
            return seed % 2 == 0 ? UNLIMITED : LIMITED_AND_SLOW;
        }

        ClusterShape of(ClusterShape shape) {
            return this == LIMITED_AND_SLOW ? shape.withStateRates(REQUESTS_PER_SECOND, WRITES_PER_SECOND) : shape;
        }
    }

    /** A fault that ends by itself after a random time. */
    enum Fault {
        LEADER_ISOLATED,
        LEADER_REJECTED_BY_STORE,
        STORE_OUTAGE,
        ZONE_PARTITION,
        CONTROLLER_CRASH,
        ALL_CONTROLLERS_CRASH,
        REPEATED_LEADER_CRASHES,
        CONTROLLER_FREEZE,
        MACHINES_CANNOT_SEND,
        MACHINES_CANNOT_RECEIVE,
        MACHINES_HANG,
        MACHINES_DISCONNECTED,
        LATE_WRITES,
        DUPLICATED_HEARTBEATS,
        DELAYED_HEARTBEATS,
        CANCEL_RUNNING_JOBS,
        CANCEL_AT_COMPLETION,
        REPEATED_AND_UNKNOWN_REQUESTS,
        MACHINES_BLOCKED_FROM_CONTROLLER,
        PEERS_PARTITIONED,
        LOSS_AND_DUPLICATES,
        DELAYED_RENTAL,
        MACHINE_CRASH,
        SPOT_INTERRUPTION,
        LEADER_PARTITIONED_FROM_WORKERS,
        MACHINES_REFUSE_CONNECTIONS_TWICE,
        MOST_WRITES_LATE,
        CANCELLED_MACHINES_HANG;

        /** The faults that {@link #addRandomFaults} draws from, one independently of the other; a seed depends on their number and order. */
        private static final List<Fault> INDEPENDENT =
                List.copyOf(EnumSet.range(LEADER_ISOLATED, LEADER_PARTITIONED_FROM_WORKERS));
    }

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<String> jobIds = new ArrayList<>();
    private final List<String> faultLog = new ArrayList<>();

    RandomFaultSchedule(long seed, StateService stateService) {
        // One seed in four stores a record for each machine; in the others up to ten machines share a record.
        ClusterShape shape = ClusterShape.of(7, seed % 4 == 1 ? 10 : 1);
        cluster = new SimulatedCluster(seed, stateService.of(shape));
        random = new Random(seed * 31 + 7);
        if (seed % 3 == 2) {
            cluster.taskDurationOverride = p -> Optional.of(Duration.ofSeconds(5 + p.index() * 11L % 30));
        }
    }

    SimulatedCluster cluster() {
        return cluster;
    }

    /** Returns the injected faults with their times, for the message of a failed assertion. */
    List<String> faultLog() {
        return faultLog;
    }

    List<String> ids() {
        return jobIds;
    }

    /**
     * Submits jobs of all kinds: with and without zone, same-zone and spread constraints, on spot and other
     * machines, with and without checkpoints.
     */
    void submitJobs(int count) {
        for (int i = 0; i < count; i++) {
            String id = "wk-%06d".formatted(i);
            jobIds.add(id);
            boolean gang = i % 3 == 0;
            int tasks = gang ? 1 + random.nextInt(4) : 2 + random.nextInt(6);
            boolean spread = !gang && i % 5 == 4;
            Optional<String> zone =
                    i % 7 == 2 && !spread ? Optional.of(i % 2 == 0 ? "east" : "west") : Optional.empty();
            Duration checkpointInterval = i % 4 == 1 ? Duration.ofSeconds(5) : Duration.ZERO;
            var job = SubmissionBuilder.submission(id)
                    .jobClass(gang ? "gang" : "array")
                    .team(i % 2 == 0 ? "red" : "blue")
                    .kind(gang ? JobKind.GANG : JobKind.ARRAY)
                    .priority(gang ? Priority.URGENT : Priority.LOW)
                    .tasks(tasks)
                    .zone(zone)
                    .sameZone(gang && i % 2 == 0)
                    .spread(spread)
                    .spot(i % 4 != 0)
                    .image("image-" + tasks % 2)
                    .imageGb(2)
                    .estimate(Duration.ofSeconds(5))
                    .checkpointInterval(checkpointInterval)
                    .checkpointTime(checkpointInterval.isZero() ? checkpointInterval : Duration.ofSeconds(3))
                    .build();
            cluster.sim.after(500L + i * 3500L + random.nextInt(1500), () -> cluster.submit(job));
        }
    }

    /** Schedules a fault. */
    void addFault(Fault fault, Duration at) {
        cluster.sim.after(at, () -> {
            faultLog.add(cluster.sim.now().toMillis() + " ms: " + fault);
            cluster.recordEvent(fault.name());
            inject(fault);
        });
    }

    /** Schedules an action of a test. */
    void at(Duration at, Runnable what) {
        cluster.sim.after(at, what);
    }

    /** Schedules random faults within 15 s of one another, so that they overlap. */
    void addRandomFaults(int count) {
        int from = 8000 + random.nextInt(25_000);
        for (int i = 0; i < count; i++) {
            Fault fault = Fault.INDEPENDENT.get(random.nextInt(Fault.INDEPENDENT.size()));
            addFault(fault, Duration.ofMillis(from + random.nextInt(15_000)));
        }
    }

    /**
     * Schedules machines that refuse connections and are back within seconds, again and again, each time with most transactions
     * unanswered and late when the controllers give up the tasks that they could not start there.
     */
    void addRefusedConnectionsAndLateWrites(int count) {
        int from = 8000 + random.nextInt(10_000);
        for (int i = 0; i < count; i++) {
            addFault(Fault.MACHINES_REFUSE_CONNECTIONS_TWICE, Duration.ofMillis(from));
            addFault(Fault.MOST_WRITES_LATE, Duration.ofMillis(from + 3000L + random.nextInt(3000)));
            from += 8000 + random.nextInt(8000);
        }
    }

    /** Schedules cancellations of running jobs whose machines hang from then on, for up to twice the cancellation timeout. */
    void addCancellationsOnHangingMachines(int count) {
        int from = 8000 + random.nextInt(15_000);
        for (int i = 0; i < count; i++) {
            addFault(Fault.CANCELLED_MACHINES_HANG, Duration.ofMillis(from));
            from += 5000 + random.nextInt(25_000);
        }
    }

    /**
     * Adds jobs that ended before the run. Their users poll, repeat and cancel them all the time, and all controllers crash once at any
     * moment of the faults.
     */
    void addHistory(int size) {
        JobHistory history = JobHistory.store(cluster, size, REMEMBERED_JOBS);
        for (Duration at = Duration.ZERO; at.compareTo(FAULTS_OVER) < 0; at = at.plus(HISTORY_REQUEST_INTERVAL)) {
            cluster.sim.after(at, () -> history.ask(random));
        }
        addFault(Fault.ALL_CONTROLLERS_CRASH, millis(5000, 60_000));
    }

    /** Runs the schedule and returns the violated invariants, the failed criteria of the run and the unfinished jobs. */
    List<String> run() {
        cluster.sim.after(FAULTS_OVER, () -> cluster.faultsOver = true);
        cluster.sim.run(RUN_LENGTH);
        var failures = new ArrayList<>(cluster.violations);
        failures.addAll(cluster.invariants.failedCriteria());
        for (String id : jobIds) {
            if (!List.of("done", "cancelled").contains(cluster.lastReportedPhase(id))) {
                failures.add(id + " is " + cluster.lastReportedPhase(id));
            }
        }
        return failures;
    }

    int leader() {
        return Math.max(0, cluster.leader());
    }

    private Duration millis(int least, int most) {
        return RandomDurations.between(random, Duration.ofMillis(least), Duration.ofMillis(most));
    }

    private void endAfter(Duration length, Runnable end) {
        cluster.sim.after(length, end);
    }

    private List<FakeWorker> someMachines() {
        var some = new ArrayList<FakeWorker>();
        for (int i = 0; i < 1 + random.nextInt(MAX_AFFECTED_MACHINES); i++) {
            FakeWorker w = cluster.worker(random.nextInt(50));
            if (w != null) {
                some.add(w);
            }
        }
        return some;
    }

    /** Starts a fault. Each fault belongs to one of the groups; the others ignore it. */
    private void inject(Fault fault) {
        controllerFault(fault);
        machineFault(fault);
        messageFault(fault);
        userFault(fault);
    }

    private void controllerFault(Fault fault) {
        switch (fault) {
            case LEADER_ISOLATED -> {
                cluster.isolatedNode = leader();
                endAfter(millis(6000, 45_000), () -> cluster.isolatedNode = -1);
            }
            case LEADER_REJECTED_BY_STORE -> {
                cluster.refusedNode = leader();
                endAfter(millis(2000, 40_000), () -> cluster.refusedNode = -1);
            }
            case STORE_OUTAGE -> {
                cluster.state.unavailable = true;
                endAfter(millis(4000, 45_000), cluster.state::recover);
            }
            case ZONE_PARTITION -> {
                cluster.partitionedZone = random.nextBoolean() ? "east" : "west";
                endAfter(millis(6000, 30_000), () -> cluster.partitionedZone = "");
            }
            case CONTROLLER_CRASH -> cluster.crash(random.nextInt(3), millis(50, 9000));
            case ALL_CONTROLLERS_CRASH -> {
                for (int n = 0; n < 3; n++) {
                    cluster.crash(n, millis(50, 12_000));
                }
            }
            case REPEATED_LEADER_CRASHES -> {
                for (int k = 0; k < 6; k++) {
                    cluster.sim.after(millis(0, 45_000), () -> cluster.crash(leader(), millis(50, 900)));
                }
            }
            case CONTROLLER_FREEZE -> cluster.freeze((leader() + random.nextInt(2)) % 3, millis(2000, 20_000));
            case PEERS_PARTITIONED -> {
                cluster.peersPartitioned = true;
                endAfter(millis(5000, 40_000), () -> cluster.peersPartitioned = false);
            }
            case LEADER_PARTITIONED_FROM_WORKERS -> {
                cluster.workerPartitionedNode = leader();
                endAfter(millis(8000, 40_000), () -> cluster.workerPartitionedNode = -1);
            }
            default -> {}
        }
    }

    private void machineFault(Fault fault) {
        switch (fault) {
            case MACHINES_CANNOT_SEND ->
                someMachines().forEach(w -> {
                    w.cannotSend(true);
                    endAfter(millis(5000, 45_000), () -> w.cannotSend(false));
                });
            case MACHINES_CANNOT_RECEIVE ->
                someMachines().forEach(w -> {
                    w.cannotReceive(true);
                    endAfter(millis(5000, 45_000), () -> w.cannotReceive(false));
                });
            case MACHINES_HANG -> someMachines().forEach(w -> w.hang(millis(2000, 25_000)));
            case MACHINES_DISCONNECTED -> someMachines().forEach(w -> cluster.disconnect(w, millis(2000, 30_000)));
            case DELAYED_HEARTBEATS ->
                someMachines().forEach(w -> {
                    w.delayHeartbeats(millis(3000, 25_000));
                    endAfter(millis(3000, 15_000), () -> w.delayHeartbeats(Duration.ZERO));
                });
            case MACHINES_BLOCKED_FROM_CONTROLLER -> {
                List<FakeWorker> some = someMachines();
                int node = random.nextInt(3);
                some.forEach(w -> cluster.block(node, w));
                endAfter(millis(10_000, 60_000), () -> some.forEach(w -> cluster.unblock(node, w)));
            }
            case MACHINES_REFUSE_CONNECTIONS_TWICE -> someMachines().forEach(this::refuseConnectionsTwice);
            case MACHINE_CRASH -> someMachines().stream().limit(1).forEach(cluster::crashMachine);
            case SPOT_INTERRUPTION ->
                someMachines().stream()
                        .filter(w -> w.interruptedAt == null)
                        .forEach(w -> cluster.interruptMachine(w, millis(6000, 14_000)));
            default -> {}
        }
    }

    /** A machine loses its network, has it again for some seconds and loses it once more, each time for less than a lease. */
    private void refuseConnectionsTwice(FakeWorker worker) {
        Duration firstEnd = millis(5000, 9500);
        Duration secondStart = firstEnd.plus(millis(1000, 12_000));
        worker.refusesConnections = true;
        endAfter(firstEnd, () -> worker.refusesConnections = false);
        endAfter(secondStart, () -> worker.refusesConnections = true);
        endAfter(secondStart.plus(millis(3000, 9500)), () -> worker.refusesConnections = false);
    }

    private void messageFault(Fault fault) {
        switch (fault) {
            case MOST_WRITES_LATE -> {
                cluster.lateWriteRate = 0.6 + random.nextDouble() * 0.4;
                endAfter(millis(1500, 5000), () -> cluster.lateWriteRate = 0);
            }
            case LATE_WRITES -> {
                cluster.lateWriteRate = 0.1 + random.nextDouble() * 0.3;
                endAfter(millis(10_000, 50_000), () -> cluster.lateWriteRate = 0);
            }
            case DUPLICATED_HEARTBEATS -> {
                cluster.delayedDuplicates = 2;
                endAfter(millis(20_000, 60_000), () -> cluster.delayedDuplicates = 0);
            }
            case LOSS_AND_DUPLICATES -> {
                cluster.lossRate = 0.03;
                cluster.duplicateRate = 0.1;
                endAfter(millis(10_000, 50_000), () -> {
                    cluster.lossRate = 0;
                    cluster.duplicateRate = 0;
                });
            }
            case DELAYED_RENTAL -> cluster.delayNextRental = true;
            default -> {}
        }
    }

    private void cancelOnHangingMachines(String id) {
        cluster.sim.after(random.nextInt(200), () -> cluster.cancel(id));
        cluster.alive().stream()
                .filter(worker -> worker.hasTaskOf(id))
                .forEach(worker -> worker.hang(millis(20_000, 2 * (int) SimulatedCluster.CANCEL_TIMEOUT.toMillis())));
    }

    private void userFault(Fault fault) {
        switch (fault) {
            case CANCEL_RUNNING_JOBS -> {
                jobIds.stream()
                        .filter(id -> cluster.lastReportedPhase(id).equals("running"))
                        .limit(4)
                        .forEach(id -> cluster.sim.after(random.nextInt(200), () -> cluster.cancel(id)));
                if (random.nextBoolean()) {
                    someMachines().forEach(w -> w.hang(millis(2000, 25_000)));
                }
            }
            case CANCELLED_MACHINES_HANG -> {
                int maxJobs = 1 + random.nextInt(MAX_CANCELLED_JOBS);
                jobIds.stream()
                        .filter(id -> cluster.lastReportedPhase(id).equals("running"))
                        .limit(maxJobs)
                        .forEach(this::cancelOnHangingMachines);
            }
            case CANCEL_AT_COMPLETION -> {
                cluster.cancelAtCompletionRate = 0.5;
                endAfter(millis(20_000, 50_000), () -> cluster.cancelAtCompletionRate = 0);
            }
            case REPEATED_AND_UNKNOWN_REQUESTS -> {
                for (int k = 0; k < 20; k++) {
                    String id = jobIds.get(random.nextInt(jobIds.size()));
                    cluster.sim.after(millis(0, 40_000), () -> cluster.resubmit(id));
                    cluster.sim.after(millis(0, 40_000), () -> cluster.pollUnknownJob("wk-9" + random.nextInt(9999)));
                    cluster.sim.after(millis(0, 40_000), () -> {
                        if (cluster.lastReportedPhase(id).equals("done")) {
                            cluster.cancel(id);
                        }
                    });
                }
            }
            default -> {}
        }
    }
}
