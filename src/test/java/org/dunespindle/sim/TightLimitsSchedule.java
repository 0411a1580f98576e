package org.dunespindle.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;

/**
 * A run drawn from a seed in which every team requests more than its limit while machines have free slots. All three controllers place
 * tasks of the same arrays, and the state store limits the write rate and answers slowly.
 */
final class TightLimitsSchedule {
    private static final int MACHINES = 30;
    private static final Duration LAST_JOB = Duration.ofSeconds(30);
    private static final Duration FAULTS_OVER = Duration.ofSeconds(90);
    private static final Duration RUN_LENGTH = Duration.ofSeconds(600);
    private static final double REQUESTS_PER_SECOND = 250;

    /** Faults in addition to the limited write rate. */
    enum Fault {
        NONE,
        SLOW_STORE,
        SLOW_WRITES,
        STORE_RATE_LIMITED,
        STORE_OUTAGE,
        CONTROLLER_FREEZE,
        LEADER_CRASH,
        LATE_WRITES,
        CANCELLATIONS
    }

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<String> ids = new ArrayList<>();
    private final List<String> faultLog = new ArrayList<>();

    TightLimitsSchedule(long seed) {
        random = new Random(seed * 37 + 11);
        int red = 30 + random.nextInt(50);
        int blue = 16 + random.nextInt(30);
        double writes = 12 + random.nextInt(14);
        cluster = new SimulatedCluster(
                seed,
                ClusterShape.of(MACHINES, 1 + 9 * random.nextInt(2))
                        .withLimits(Map.of("red", red, "blue", blue))
                        .withStateRates(REQUESTS_PER_SECOND, writes));
        faultLog.add("limits %d and %d, %.0f changes/s".formatted(red, blue, writes));
        cluster.maxStateDelayMillis = 20 + random.nextInt(300);
        cluster.taskDurationOverride = task -> Optional.of(Duration.ofSeconds(6 + task.index() * 7L % 17));
        cluster.addMachines(MACHINES);
        submitJobs();
        addFault(Fault.values()[(int) (seed % Fault.values().length)]);
        addFault(Fault.values()[random.nextInt(Fault.values().length)]);
    }

    SimulatedCluster cluster() {
        return cluster;
    }

    List<String> faultLog() {
        return faultLog;
    }

    /** Runs the schedule and returns the violated invariants. */
    List<String> run() {
        cluster.sim.after(FAULTS_OVER, () -> cluster.faultsOver = true);
        cluster.sim.run(RUN_LENGTH);
        return cluster.violations;
    }

    /** Returns the jobs that are neither done nor cancelled. */
    List<String> unfinished() {
        return ids.stream()
                .filter(id -> !List.of("done", "cancelled").contains(cluster.lastReportedPhase(id)))
                .toList();
    }

    private void submitJobs() {
        long at = 3000;
        while (at < LAST_JOB.toMillis()) {
            Submission job = draw("wk-%06d".formatted(ids.size()));
            ids.add(job.id());
            cluster.sim.after(at, () -> cluster.submit(job));
            at += 60 + random.nextInt(350);
        }
    }

    private Submission draw(String id) {
        boolean gang = random.nextInt(8) == 0;
        return SubmissionBuilder.submission(id)
                .jobClass(gang ? "gang" : "array")
                .team(random.nextInt(3) > 0 ? "red" : "blue")
                .kind(gang ? JobKind.GANG : JobKind.ARRAY)
                .priority(random.nextBoolean() ? Priority.LOW : Priority.NORMAL)
                .tasks(gang ? 2 + random.nextInt(5) : drawTasks())
                .spot(true)
                .image("image-" + random.nextInt(3))
                .estimate(Duration.ofSeconds(8))
                .build();
    }

    /** Draws an array size: usually small, in one of five cases several machines large. */
    private int drawTasks() {
        return random.nextInt(5) == 0 ? 10 + random.nextInt(20) : 2 + random.nextInt(7);
    }

    private void addFault(Fault fault) {
        Duration at = Duration.ofSeconds(5 + random.nextInt(30));
        cluster.sim.after(at, () -> {
            faultLog.add(cluster.sim.now().toMillis() + " ms: " + fault);
            inject(fault);
        });
    }

    private void inject(Fault fault) {
        switch (fault) {
            case SLOW_STORE -> {
                int usual = cluster.maxStateDelayMillis;
                cluster.maxStateDelayMillis = 300 + random.nextInt(900);
                after(10_000 + random.nextInt(25_000), () -> cluster.maxStateDelayMillis = usual);
            }
            case SLOW_WRITES -> {
                cluster.slowWritesNode = random.nextInt(3);
                cluster.slowWritesMillis = 300 + random.nextInt(1200);
                after(15_000 + random.nextInt(40_000), () -> cluster.slowWritesNode = -1);
            }
            case STORE_RATE_LIMITED -> {
                // Other clients use the store too, so that it rejects rates within the configured limits.
                double share = 0.3 + random.nextDouble() * 0.4;
                ClusterShape.StateRates rates = cluster.shape.stateRates().orElseThrow();
                cluster.state.limitRates(rates.requests() * share, rates.writes() * share);
                after(
                        10_000 + random.nextInt(20_000),
                        () -> cluster.state.limitRates(rates.requests(), rates.writes()));
            }
            case STORE_OUTAGE -> {
                cluster.state.unavailable = true;
                after(2000 + random.nextInt(8000), cluster.state::recover);
            }
            case CONTROLLER_FREEZE ->
                cluster.freeze(random.nextInt(3), Duration.ofMillis(2000 + random.nextInt(12_000)));
            case LEADER_CRASH ->
                cluster.crash(Math.max(0, cluster.leader()), Duration.ofMillis(100 + random.nextInt(4000)));
            case LATE_WRITES -> {
                cluster.lateWriteRate = 0.05 + random.nextDouble() * 0.25;
                after(10_000 + random.nextInt(25_000), () -> cluster.lateWriteRate = 0);
            }
            case CANCELLATIONS ->
                ids.stream()
                        .filter(id -> cluster.lastReportedPhase(id).equals("running"))
                        .limit(3)
                        .forEach(cluster::cancel);
            default -> {}
        }
    }

    private void after(long millis, Runnable end) {
        cluster.sim.after(millis, end);
    }
}
