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

/** A run of three cells: one cell is full, its jobs are delegated, and faults drawn from a seed are injected at the same time. */
final class RandomFederationFaults {
    private static final int MIN_FILLER_MILLIS = 50_000;
    private static final int MAX_FILLER_MILLIS = 240_000;
    private static final Duration FIRST_FAULT = Duration.ofSeconds(18);
    private static final int FAULT_PERIOD_MILLIS = 45_000;
    private static final Duration END = Duration.ofMinutes(16);

    /** The faults that can be injected. */
    enum Fault {
        LEADER_CRASH,
        CELL_CRASH,
        STATE_STORE_OUTAGE,
        LEADER_REFUSED_BY_STORE,
        DELAYED_WRITES,
        PARTITION,
        ONE_WAY_PARTITION,
        DELAYED_MESSAGES,
        DUPLICATED_MESSAGES,
        LOST_MESSAGES,
        DELAYED_REQUESTS,
        REMOTE_CELLS_FULL,
        CANCELLATIONS,
        LEADER_PAUSE,
        REPEATED_LEADER_CRASHES
    }

    final SimulatedFederation federation;
    private final Random random;
    private final List<String> jobIds = new ArrayList<>();
    private final List<String> fillerIds = new ArrayList<>();
    private final List<String> faultLog = new ArrayList<>();

    RandomFederationFaults(long seed, RandomFaultSchedule.StateService stateService) {
        federation = new SimulatedFederation(seed, stateService, 2, 3, 3);
        random = new Random(seed * 37 + 11);
        // In some runs capacity becomes free in cell a while jobs are being delegated.
        Duration fillerDuration = millis(MIN_FILLER_MILLIS, MAX_FILLER_MILLIS);
        federation.cells.forEach(cell ->
                cell.taskDurationOverride = task -> task.job().startsWith("fill-")
                        ? Optional.of(fillerDuration)
                        : Optional.of(Duration.ofSeconds(5 + task.index() * 7L)));
        federation.sim.after(3000, this::shortenDelays);
        fill(0, 2000);
        submitJobs();
    }

    /** Shortens the delays of delegation and recall, so that more transfers coincide with faults. */
    private void shortenDelays() {
        double spillAfter = 3 + random.nextInt(10);
        double recallAfter = 5 + random.nextInt(20);
        federation.cells.forEach(cell -> cell.setOptions(
                0, Map.of("spill_after_s", spillAfter, "recall_after_s", recallAfter, "spill_pause_s", 5.0)));
    }

    List<String> faultLog() {
        return faultLog;
    }

    /** How many jobs completed in a cell other than their origin. */
    long delegatedCount() {
        return jobIds.stream()
                .filter(id -> List.of("b", "c").contains(federation.finishedIn(id)))
                .count();
    }

    private void fill(int cell, int atMillis) {
        String id = "fill-%06d".formatted(fillerIds.size());
        fillerIds.add(id);
        Submission filler = FederationTest.job(id, "red", JobKind.ARRAY, Priority.CRITICAL, 8);
        federation.sim.after(atMillis, () -> federation.cells.get(cell).submit(filler));
    }

    private void submitJobs() {
        for (int i = 0; i < 8; i++) {
            String id = "wk-%06d".formatted(i);
            jobIds.add(id);
            JobKind kind = random.nextBoolean() ? JobKind.GANG : JobKind.ARRAY;
            Priority priority = random.nextBoolean() ? Priority.URGENT : Priority.NORMAL;
            Submission job = FederationTest.job(id, "blue", kind, priority, 1 + random.nextInt(4));
            federation.sim.after(
                    15_000L + 2500L * i, () -> federation.cells.get(0).submit(job));
        }
    }

    private Duration millis(int min, int max) {
        return Duration.ofMillis(min + random.nextInt(max - min));
    }

    /** Adds random faults at times at which jobs are being delegated. */
    void addAny(int count) {
        Fault[] all = Fault.values();
        for (int i = 0; i < count; i++) {
            add(all[random.nextInt(all.length)]);
        }
    }

    void add(Fault fault) {
        Duration at = FIRST_FAULT.plus(millis(0, FAULT_PERIOD_MILLIS));
        int cell = random.nextInt(3);
        federation.sim.after(at, () -> {
            faultLog.add(at.toMillis() + " ms: " + fault + " " + SimulatedFederation.NAMES.get(cell));
            inject(fault, cell);
        });
    }

    private void inject(Fault fault, int index) {
        SimulatedCluster cell = federation.cells.get(index);
        int leader = Math.max(0, cell.leader());
        switch (fault) {
            case LEADER_CRASH -> cell.crash(leader, millis(50, 9000));
            case CELL_CRASH -> {
                for (int node = 0; node < 3; node++) {
                    cell.crash(node, millis(50, 20_000));
                }
            }
            case REPEATED_LEADER_CRASHES -> {
                for (int k = 0; k < 5; k++) {
                    federation.sim.after(
                            millis(0, 60_000), () -> cell.crash(Math.max(0, cell.leader()), millis(50, 900)));
                }
            }
            case STATE_STORE_OUTAGE -> {
                cell.state.unavailable = true;
                federation.sim.after(millis(4000, 40_000), cell.state::recover);
            }
            case LEADER_REFUSED_BY_STORE -> {
                cell.refusedNode = leader;
                federation.sim.after(millis(2000, 40_000), () -> cell.refusedNode = -1);
            }
            case DELAYED_WRITES -> {
                cell.lateWriteRate = 0.1 + random.nextDouble() * 0.3;
                federation.sim.after(millis(10_000, 60_000), () -> cell.lateWriteRate = 0);
            }
            case LEADER_PAUSE -> cell.freeze(leader, millis(2000, 40_000));
            case CANCELLATIONS -> cancelSomeJobs();
            default -> injectNetworkFault(fault, index);
        }
    }

    private void cancelSomeJobs() {
        SimulatedCluster origin = federation.cells.get(0);
        for (String id : jobIds) {
            if (random.nextInt(3) == 0 && !origin.isOver(id) && origin.reportedPhases.containsKey(id)) {
                federation.sim.after(millis(0, 20_000), () -> origin.cancel(id));
            }
        }
    }

    private void injectNetworkFault(Fault fault, int cell) {
        int other = (cell + 1 + random.nextInt(2)) % 3;
        switch (fault) {
            case PARTITION -> {
                federation.setPartitioned(cell, other, true);
                federation.sim.after(millis(5000, 120_000), () -> federation.setPartitioned(cell, other, false));
            }
            case ONE_WAY_PARTITION -> {
                federation.blocked[cell * 3 + other] = true;
                federation.sim.after(millis(5000, 120_000), () -> federation.blocked[cell * 3 + other] = false);
            }
            case DELAYED_MESSAGES -> {
                federation.delayProbability = 0.4;
                federation.sim.after(millis(20_000, 90_000), () -> federation.delayProbability = 0);
            }
            case DUPLICATED_MESSAGES -> federation.duplicateProbability = 0.5;
            case LOST_MESSAGES -> {
                federation.lossProbability = 0.3;
                federation.sim.after(millis(20_000, 90_000), () -> federation.lossProbability = 0);
            }
            case DELAYED_REQUESTS -> federation.delayRequests(0, 1 + random.nextInt(2), millis(10_000, 90_000));
            case REMOTE_CELLS_FULL -> {
                fill(1, random.nextInt(8000));
                fill(2, random.nextInt(8000));
            }
            default -> throw new IllegalArgumentException(fault + " is not a network fault");
        }
    }

    /** Runs to the end; returns the violated invariants and the jobs that did not end. */
    List<String> run() {
        federation.sim.run(END);
        var violations = new ArrayList<>(federation.violations());
        SimulatedCluster origin = federation.cells.get(0);
        for (String id : jobIds) {
            if (!origin.isOver(id)) {
                violations.add(id + " is " + origin.lastReportedPhase(id) + ", with the delegation link "
                        + origin.state.rows().get("ds/job/" + id).value().path("away"));
            }
        }
        return violations;
    }
}
