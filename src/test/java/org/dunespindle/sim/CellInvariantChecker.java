package org.dunespindle.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Checks that a job runs in at most one of several cells, and that each of its tasks completes in one cell only. */
final class CellInvariantChecker implements SimulatedEnvironment.Watcher {
    /** Violated invariants. */
    final List<String> violations = new ArrayList<>();

    private final List<SimulatedCluster> cells;
    private final Map<String, List<String>> startedIn = new LinkedHashMap<>();
    private final Map<String, String> finishedIn = new HashMap<>();

    CellInvariantChecker(List<SimulatedCluster> cells) {
        this.cells = cells;
    }

    private String name(SimulatedCluster cluster) {
        return SimulatedFederation.NAMES.get(cells.indexOf(cluster));
    }

    @Override
    public void started(SimulatedCluster cluster, FakeWorker.Task task) {
        String job = task.task.job();
        for (SimulatedCluster other : cells) {
            boolean runsThere = other != cluster
                    && other.invariants.live().stream()
                            .anyMatch(live -> live.task.job().equals(job));
            if (runsThere) {
                violations.add("runs in two cells: " + job + " in " + name(other) + " and " + name(cluster));
            }
        }
        List<String> cellNames = startedIn.computeIfAbsent(job, id -> new ArrayList<>());
        if (!cellNames.contains(name(cluster))) {
            cellNames.add(name(cluster));
        }
        if (cellNames.size() > 1) {
            // A job is delegated or returned only before any of its tasks is placed, so its tasks never
            // start in a second cell.
            violations.add("started in two cells: " + job + " in " + cellNames);
        }
    }

    @Override
    public void finished(SimulatedCluster cluster, FakeWorker.Task task) {
        String previous = finishedIn.putIfAbsent(task.task.toString(), name(cluster));
        if (previous != null && !previous.equals(name(cluster))) {
            violations.add("finished in two cells: " + task.task);
        }
    }

    /** The cell in which a job's first task completed; empty if it did not. */
    String finishedIn(String job) {
        return finishedIn.getOrDefault(job + "/0", "");
    }
}
