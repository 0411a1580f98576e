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

/** A day of three cells on which one is filled, its builds move, and troubles drawn from a seed meet. */
final class RandomFederationFaults {
    private static final int FILLED_AT_LEAST_MILLIS = 50_000;
    private static final int FILLED_AT_MOST_MILLIS = 240_000;
    private static final Duration TROUBLES_FROM = Duration.ofSeconds(18);
    private static final int TROUBLES_WITHIN_MILLIS = 45_000;
    private static final Duration END = Duration.ofMinutes(16);

    /** What may go wrong. */
    enum Trouble {
        LEADER_CRASHES,
        CELL_CRASHES,
        STATE_OUT,
        LEADER_REFUSED,
        LATE_WRITES,
        CELLS_CUT,
        CELLS_CUT_ONE_WAY,
        MESSAGES_HELD,
        MESSAGES_REPEATED,
        MESSAGES_LOST,
        REQUESTS_HELD,
        RECEIVERS_FILLED,
        USERS_CANCEL,
        LEADER_STANDS_STILL,
        LEADERS_CHANGE
    }

    final SimulatedFederation federation;
    private final Random random;
    private final List<String> builds = new ArrayList<>();
    private final List<String> fills = new ArrayList<>();
    private final List<String> story = new ArrayList<>();

    RandomFederationFaults(long seed, RandomFaultSchedule.StateService stateService) {
        federation = new SimulatedFederation(seed, stateService, 2, 3, 3);
        random = new Random(seed * 37 + 11);
        // On some days room comes back while jobs are on their way.
        Duration filled = millis(FILLED_AT_LEAST_MILLIS, FILLED_AT_MOST_MILLIS);
        federation.cells.forEach(cell ->
                cell.taskDurationOverride = task -> task.job().startsWith("fill-")
                        ? Optional.of(filled)
                        : Optional.of(Duration.ofSeconds(5 + task.index() * 7L)));
        federation.sim.after(3000, this::hurry);
        fill(0, 2000);
        submitBuilds();
    }

    /** Jobs move sooner, and are wanted back sooner, than by default: so that there is more to meet. */
    private void hurry() {
        double spillAfter = 3 + random.nextInt(10);
        double recallAfter = 5 + random.nextInt(20);
        federation.cells.forEach(cell -> cell.setOptions(
                0, Map.of("spill_after_s", spillAfter, "recall_after_s", recallAfter, "spill_pause_s", 5.0)));
    }

    List<String> story() {
        return story;
    }

    /** How many builds completed in another cell than their own. */
    long moved() {
        return builds.stream()
                .filter(id -> List.of("b", "c").contains(federation.finishedIn(id)))
                .count();
    }

    private void fill(int cell, int atMillis) {
        String id = "fill-%06d".formatted(fills.size());
        fills.add(id);
        Submission fill = FederationTest.job(id, "red", JobKind.ARRAY, Priority.CRITICAL, 8);
        federation.sim.after(atMillis, () -> federation.cells.get(cell).submit(fill));
    }

    private void submitBuilds() {
        for (int i = 0; i < 8; i++) {
            String id = "wk-%06d".formatted(i);
            builds.add(id);
            JobKind shape = random.nextBoolean() ? JobKind.GANG : JobKind.ARRAY;
            Priority priority = random.nextBoolean() ? Priority.URGENT : Priority.NORMAL;
            Submission build = FederationTest.job(id, "blue", shape, priority, 1 + random.nextInt(4));
            federation.sim.after(
                    15_000L + 2500L * i, () -> federation.cells.get(0).submit(build));
        }
    }

    private Duration millis(int least, int most) {
        return Duration.ofMillis(least + random.nextInt(most - least));
    }

    /** So many troubles, at moments at which jobs are on their way. */
    void addAny(int count) {
        Trouble[] all = Trouble.values();
        for (int i = 0; i < count; i++) {
            add(all[random.nextInt(all.length)]);
        }
    }

    void add(Trouble trouble) {
        Duration at = TROUBLES_FROM.plus(millis(0, TROUBLES_WITHIN_MILLIS));
        int cell = random.nextInt(3);
        federation.sim.after(at, () -> {
            story.add(at.toMillis() + " ms: " + trouble + " " + SimulatedFederation.NAMES.get(cell));
            begin(trouble, cell);
        });
    }

    private void begin(Trouble trouble, int index) {
        SimulatedCluster cell = federation.cells.get(index);
        int leader = Math.max(0, cell.leader());
        switch (trouble) {
            case LEADER_CRASHES -> cell.crash(leader, millis(50, 9000));
            case CELL_CRASHES -> {
                for (int node = 0; node < 3; node++) {
                    cell.crash(node, millis(50, 20_000));
                }
            }
            case LEADERS_CHANGE -> {
                for (int k = 0; k < 5; k++) {
                    federation.sim.after(
                            millis(0, 60_000), () -> cell.crash(Math.max(0, cell.leader()), millis(50, 900)));
                }
            }
            case STATE_OUT -> {
                cell.state.unavailable = true;
                federation.sim.after(millis(4000, 40_000), cell.state::recover);
            }
            case LEADER_REFUSED -> {
                cell.refusedNode = leader;
                federation.sim.after(millis(2000, 40_000), () -> cell.refusedNode = -1);
            }
            case LATE_WRITES -> {
                cell.lateWriteRate = 0.1 + random.nextDouble() * 0.3;
                federation.sim.after(millis(10_000, 60_000), () -> cell.lateWriteRate = 0);
            }
            case LEADER_STANDS_STILL -> cell.freeze(leader, millis(2000, 40_000));
            case USERS_CANCEL -> cancelSome();
            default -> networkTrouble(trouble, index);
        }
    }

    private void cancelSome() {
        SimulatedCluster home = federation.cells.get(0);
        for (String id : builds) {
            if (random.nextInt(3) == 0 && !home.isOver(id) && home.reportedPhases.containsKey(id)) {
                federation.sim.after(millis(0, 20_000), () -> home.cancel(id));
            }
        }
    }

    private void networkTrouble(Trouble trouble, int cell) {
        int other = (cell + 1 + random.nextInt(2)) % 3;
        switch (trouble) {
            case CELLS_CUT -> {
                federation.cut(cell, other, true);
                federation.sim.after(millis(5000, 120_000), () -> federation.cut(cell, other, false));
            }
            case CELLS_CUT_ONE_WAY -> {
                federation.cut[cell * 3 + other] = true;
                federation.sim.after(millis(5000, 120_000), () -> federation.cut[cell * 3 + other] = false);
            }
            case MESSAGES_HELD -> {
                federation.held = 0.4;
                federation.sim.after(millis(20_000, 90_000), () -> federation.held = 0);
            }
            case MESSAGES_REPEATED -> federation.repeated = 0.5;
            case MESSAGES_LOST -> {
                federation.loss = 0.3;
                federation.sim.after(millis(20_000, 90_000), () -> federation.loss = 0);
            }
            case REQUESTS_HELD -> federation.hold(0, 1 + random.nextInt(2), millis(10_000, 90_000));
            case RECEIVERS_FILLED -> {
                fill(1, random.nextInt(8000));
                fill(2, random.nextInt(8000));
            }
            default -> throw new IllegalArgumentException(trouble + " is none of the network");
        }
    }

    /** Runs the day; rules broken, and jobs that did not end. */
    List<String> play() {
        federation.sim.run(END);
        var wrong = new ArrayList<>(federation.violations());
        SimulatedCluster home = federation.cells.get(0);
        for (String id : builds) {
            if (!home.isOver(id)) {
                wrong.add(id + " is " + home.lastReportedPhase(id) + " in phase "
                        + home.state.rows().get("ds/job/" + id).value().path("away"));
            }
        }
        return wrong;
    }
}
