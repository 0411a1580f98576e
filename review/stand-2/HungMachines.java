import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Users cancel jobs whose machines hang at that moment. Before the time for the cancellations is over, all controllers end and come back
 * (all-end), the leader stands still for some seconds (leader-still), the leader ends and the state service is out from then on for
 * longer than cancel_s (leader-ends-out), or nothing else happens (alone).
 */
final class HungMachines {
    private static final int HUNG = 5;
    private static final double HANG_S = 75;
    /** Longer than cancel_s. */
    private static final double OUT_S = 53;

    /** Clocks of the test and of its threads are read apart. */
    private static final double MARGIN_S = 0.25;

    static void run(String record, String variant) throws Exception {
        var cell = new Cell(record);
        cell.grazFleet();
        cell.start();
        var cancelled = new ArrayList<String>();
        for (int i = 0; i < HUNG; i++) {
            cancelled.add(submit(cell, i, "murufer"));
        }
        cell.await("tasks in murufer run", 30, index -> cell.startedAt.size() == 2 * HUNG, 0);
        for (int i = 0; i < 4; i++) {
            submit(cell, HUNG + i, "schlossberg");
        }
        cell.await("tasks in schlossberg run", 30, index -> cell.startedAt.size() == 2 * (HUNG + 4), 0);
        Thread.sleep(6000);
        List<Worker> machines = cell.cloud.machines.values().stream()
                .filter(machine -> machine.dune.equals("murufer"))
                .toList();
        if (cell.trouble) {
            machines.forEach(machine -> machine.hang(HANG_S));
        }
        Map<String, Double> toldAt = new HashMap<>();
        for (String job : cancelled) {
            toldAt.put(job, cell.withdraw(job, toldAt.size()));
        }
        double last = toldAt.values().stream().mapToDouble(at -> at).max().orElseThrow();
        cell.record("leader is spindle-" + cell.leader());
        double outSince = 0;
        boolean acted = !cell.trouble || variant.equals("alone");
        var broken = new ArrayList<String>();
        while (cell.now() < last + cell.cancelS + 8) {
            double since = cell.now() - last;
            if (!acted && variant.equals("all-end") && since > 35) {
                acted = true;
                for (int node = 0; node < 3; node++) {
                    cell.kill(node);
                }
                Thread.sleep(4000);
                for (int node = 0; node < 3; node++) {
                    cell.start(node);
                }
            } else if (!acted && variant.equals("leader-ends-out") && since > 1) {
                acted = true;
                int leader = cell.leader();
                cell.kill(leader);
                cell.state.outage(true);
                cell.record("the state service is out");
                outSince = cell.now();
                Thread.sleep(4000);
                cell.start(leader);
            } else if (outSince > 0 && cell.now() > outSince + OUT_S) {
                outSince = 0;
                cell.state.outage(false);
                cell.record("the state service is back");
            } else if (!acted && variant.equals("leader-still") && since > 39.5) {
                acted = true;
                int leader = cell.leader();
                cell.signal(leader, "STOP");
                Thread.sleep(2800);
                cell.signal(leader, "CONT");
                cell.record("leader is spindle-" + cell.leader());
            }
            for (Worker machine : cell.cloud.machines.values()) {
                for (String job : cancelled) {
                    double late = cell.now() - toldAt.get(job) - cell.cancelS;
                    String what = job + " on " + machine.id;
                    if (machine.has(job) && late > MARGIN_S && !broken.contains(what)) {
                        broken.add(what);
                        cell.record("ran_cancelled: a task of " + what + " %.2f s after the time for its cancellation".formatted(late));
                    }
                }
            }
            Thread.sleep(50);
        }
        cell.exit(
                broken.isEmpty() ? 0 : 1,
                broken.isEmpty()
                        ? "held: all tasks of cancelled jobs were gone in time"
                        : "ran_cancelled: " + broken.size() + " of " + HUNG + " cancelled jobs had tasks on machines after "
                                + cell.cancelS + " s");
    }

    private static String submit(Cell cell, int number, String dune) throws InterruptedException {
        String id = "wk-%06d".formatted(100 + number);
        cell.submit(cell.job(id, "antwort-score", "frontdesk-0" + number % 8, 2, 10, 1, 54).put("dune", dune), 300);
        return id;
    }
}
