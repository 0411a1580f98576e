package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.protocol.JobKind;

/** A cluster in which each job fills one machine, and cancellations of jobs whose machines hang from then on. */
final class HangingMachinesScenario {
    static final int MACHINES = 5;
    /** Longer than the cancellation timeout. */
    static final Duration HANG = SimulatedCluster.CANCEL_TIMEOUT.plusSeconds(15);

    private static final Duration SUBMISSION_INTERVAL = Duration.ofSeconds(3);
    private static final Duration ALL_JOBS_RUN = Duration.ofSeconds(50);
    /** Longer than the test, so that no task ends by itself. */
    private static final Duration TASK_DURATION = Duration.ofMinutes(10);

    final SimulatedCluster cluster;
    private final Map<String, FakeWorker> machineByJob = new TreeMap<>();
    private List<FakeWorker> hanging = List.of();

    /** Runs a cluster until every job fills a machine. */
    HangingMachinesScenario(long seed) {
        var shape = ClusterShape.of(MACHINES, 1)
                .withLimits(Map.of("red", MACHINES * SimulatedCluster.SLOTS, "blue", SimulatedCluster.LIMIT_BLUE));
        cluster = new SimulatedCluster(seed, shape);
        cluster.taskDuration = Optional.of(TASK_DURATION);
        for (int i = 0; i < MACHINES; i++) {
            String id = "wk-%06d".formatted(i);
            machineByJob.put(id, null);
            cluster.sim.after(
                    1000L + SUBMISSION_INTERVAL.toMillis() * i,
                    () -> cluster.submit(
                            ClusterTest.job(id, "red", JobKind.ARRAY, SimulatedCluster.SLOTS, false, false)));
        }
        cluster.sim.run(ALL_JOBS_RUN);
        machineByJob.replaceAll((job, none) -> cluster.alive().stream()
                .filter(worker -> worker.hasTaskOf(job))
                .findFirst()
                .orElseThrow(() -> new AssertionError(job + " runs nowhere: " + cluster.invariants.dump())));
    }

    /** The machine of the first job. */
    FakeWorker firstMachine() {
        return machineByJob.values().iterator().next();
    }

    /** Cancels some jobs and lets their machines hang from that moment on. */
    void cancelOnHangingMachines(int count) {
        List<String> cancelled = new ArrayList<>(machineByJob.keySet()).subList(0, count);
        hanging = cancelled.stream().map(machineByJob::get).distinct().toList();
        hanging.forEach(machine -> machine.hang(HANG));
        cancelled.forEach(cluster::cancel);
    }

    /** Schedules an action after a delay. */
    void at(Duration delay, Runnable action) {
        cluster.sim.after(delay, action);
    }

    /** Runs the cluster for some time. */
    void run(Duration time) {
        cluster.sim.run(cluster.sim.now().plus(time));
    }

    /** Runs the cluster to the end of the hang; fails if a task outlasted its cancellation or a machine that hung was kept. */
    void assertEndedInTime() {
        run(HANG.plusSeconds(20));
        assertEquals(List.of(), cluster.violations.stream().distinct().toList(), cluster::decisions);
        assertTrue(
                hanging.stream().allMatch(FakeWorker::dead),
                () -> "machines that hung with cancelled tasks and were kept: " + cluster.decisions());
    }
}
