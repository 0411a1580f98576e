package org.dunespindle.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Index of the allocations of all jobs by machine, updated whenever a job record changes. */
final class AllocationIndex {
    private final Map<String, List<PlacedTask>> tasksByMachine = new HashMap<>();
    private final Consumer<String> onMachineChanged;

    /**
     * Creates an empty index.
     *
     * @param onMachineChanged called with each machine whose desired tasks have changed
     */
    AllocationIndex(Consumer<String> onMachineChanged) {
        this.onMachineChanged = onMachineChanged;
    }

    /** Machines with at least one allocation. */
    Set<String> machines() {
        return tasksByMachine.keySet();
    }

    /** The allocations on one machine. */
    List<PlacedTask> on(String machineId) {
        return tasksByMachine.getOrDefault(machineId, List.of());
    }

    /** Replaces a job's allocations and reports the machines whose desired tasks have changed. */
    void update(String jobId, Optional<JobRecord> before, Optional<JobRecord> after) {
        Map<String, List<Allocation>> oldByMachine = byMachine(before);
        Map<String, List<Allocation>> newByMachine = byMachine(after);
        boolean stateChanged = stateChanged(before, after);
        oldByMachine.forEach((machineId, allocations) -> {
            remove(jobId, machineId);
            if (stateChanged || !allocations.equals(newByMachine.get(machineId))) {
                onMachineChanged.accept(machineId);
            }
        });
        newByMachine.forEach((machineId, allocations) -> {
            add(after.get(), machineId, allocations);
            if (!allocations.equals(oldByMachine.get(machineId))) {
                onMachineChanged.accept(machineId);
            }
        });
    }

    private void add(JobRecord job, String machineId, List<Allocation> allocations) {
        List<PlacedTask> tasks = tasksByMachine.computeIfAbsent(machineId, id -> new ArrayList<>(2));
        allocations.forEach(allocation -> tasks.add(new PlacedTask(job, allocation)));
    }

    private void remove(String jobId, String machineId) {
        tasksByMachine.computeIfPresent(machineId, (id, tasks) -> {
            tasks.removeIf(task -> task.job().id().equals(jobId));
            return tasks.isEmpty() ? null : tasks;
        });
    }

    /** Whether the job's state changed so that workers must run something else under the same allocations. */
    private static boolean stateChanged(Optional<JobRecord> before, Optional<JobRecord> after) {
        if (before.isEmpty() || after.isEmpty()) {
            return before.isPresent() != after.isPresent();
        }
        return before.get().isOpen() != after.get().isOpen()
                || before.get().gangPhase() != after.get().gangPhase()
                || before.get().gangAttempt() != after.get().gangAttempt();
    }

    private static Map<String, List<Allocation>> byMachine(Optional<JobRecord> job) {
        if (job.isEmpty() || job.get().allocations().isEmpty()) {
            return Map.of();
        }
        var allocationsByMachine = new HashMap<String, List<Allocation>>();
        for (Allocation allocation : job.get().allocations()) {
            allocationsByMachine
                    .computeIfAbsent(allocation.machineId(), id -> new ArrayList<>(2))
                    .add(allocation);
        }
        return allocationsByMachine;
    }
}
