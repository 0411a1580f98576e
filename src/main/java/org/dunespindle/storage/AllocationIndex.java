package org.dunespindle.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The allocations of all jobs by machine, kept as job records change. */
final class AllocationIndex {
    private final Map<String, List<PlacedTask>> byHost = new HashMap<>();
    private final Consumer<String> touched;

    /**
     * Creates an empty index.
     *
     * @param touched told of each machine on which something else should be from now on
     */
    AllocationIndex(Consumer<String> touched) {
        this.touched = touched;
    }

    /** Machines that allocations are on. */
    Set<String> hosts() {
        return byHost.keySet();
    }

    /** The allocations on one machine. */
    List<PlacedTask> on(String host) {
        return byHost.getOrDefault(host, List.of());
    }

    void clear() {
        byHost.clear();
    }

    /** Takes in a job's new record; a machine is touched only if what should be on it changed. */
    void update(String id, Optional<JobRecord> before, Optional<JobRecord> after) {
        Map<String, List<Allocation>> old = byHost(before);
        Map<String, List<Allocation>> now = byHost(after);
        boolean turned = turned(before, after);
        old.forEach((host, allocations) -> {
            byHost.computeIfPresent(host, (h, list) -> {
                list.removeIf(placed -> placed.job().id().equals(id));
                return list.isEmpty() ? null : list;
            });
            if (turned || !allocations.equals(now.get(host))) {
                touched.accept(host);
            }
        });
        now.forEach((host, allocations) -> {
            List<PlacedTask> list = byHost.computeIfAbsent(host, h -> new ArrayList<>(2));
            allocations.forEach(allocation -> list.add(new PlacedTask(after.get(), allocation)));
            if (!allocations.equals(old.get(host))) {
                touched.accept(host);
            }
        });
    }

    /** Whether the same allocations mean something else than before. */
    private static boolean turned(Optional<JobRecord> before, Optional<JobRecord> after) {
        if (before.isEmpty() || after.isEmpty()) {
            return before.isPresent() != after.isPresent();
        }
        return before.get().isOpen() != after.get().isOpen()
                || before.get().gangPhase() != after.get().gangPhase()
                || before.get().gangAttempt() != after.get().gangAttempt();
    }

    private static Map<String, List<Allocation>> byHost(Optional<JobRecord> job) {
        if (job.isEmpty() || job.get().allocations().isEmpty()) {
            return Map.of();
        }
        var map = new HashMap<String, List<Allocation>>();
        for (Allocation allocation : job.get().allocations()) {
            map.computeIfAbsent(allocation.machineId(), host -> new ArrayList<>(2))
                    .add(allocation);
        }
        return map;
    }
}
