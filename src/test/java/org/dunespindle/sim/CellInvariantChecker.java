package org.dunespindle.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Watches tasks of several cells: a job is in one at a time, and each of its tasks completes in one. */
final class CellInvariantChecker implements SimulatedEnvironment.Watcher {
    /** What must never happen, and did. */
    final List<String> broken = new ArrayList<>();

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
            boolean there = other != cluster
                    && other.invariants.live().stream()
                            .anyMatch(live -> live.task.job().equals(job));
            if (there) {
                broken.add("in two cells: " + job + " in " + name(other) + " and " + name(cluster));
            }
        }
        List<String> places = startedIn.computeIfAbsent(job, id -> new ArrayList<>());
        if (!places.contains(name(cluster))) {
            places.add(name(cluster));
        }
        if (places.size() > 1) {
            // A job moves only as long as no task of it has begun, so it never begins in a second cell.
            broken.add("begun in two cells: " + job + " in " + places);
        }
    }

    @Override
    public void finished(SimulatedCluster cluster, FakeWorker.Task task) {
        String before = finishedIn.putIfAbsent(task.task.toString(), name(cluster));
        if (before != null && !before.equals(name(cluster))) {
            broken.add("finished in two cells: " + task.task);
        }
    }

    /** Where a job's first task completed; empty if it did not. */
    String finishedIn(String job) {
        return finishedIn.getOrDefault(job + "/0", "");
    }
}
