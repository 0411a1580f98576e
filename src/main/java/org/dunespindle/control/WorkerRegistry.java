package org.dunespindle.control;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.WorkerHeartbeat;

/** The observed state of each worker, by machine ID. It is kept in memory only; safety does not depend on it. */
public final class WorkerRegistry {
    private static final Duration MIN_RETENTION_AFTER_REMOVAL = Duration.ofMinutes(5);
    private final Map<String, WorkerState> byMachine = new HashMap<>();

    /** The state of a machine's worker, created if it does not exist. */
    public WorkerState getOrCreate(String machineId) {
        return byMachine.computeIfAbsent(machineId, id -> new WorkerState());
    }

    /** The state of a machine's worker, if there is any. */
    public Optional<WorkerState> find(String machineId) {
        return Optional.ofNullable(byMachine.get(machineId));
    }

    /** The newest status from a machine's worker. */
    public Optional<WorkerHeartbeat> lastHeartbeat(String machineId) {
        return find(machineId).flatMap(WorkerState::lastHeartbeat);
    }

    /** The states of all workers. */
    public Collection<WorkerState> all() {
        return Collections.unmodifiableCollection(byMachine.values());
    }

    /**
     * Removes the workers of removed machines. A worker is retained for some time after its last new status, so that late copies of its
     * heartbeats are recognized as old.
     *
     * @param machineIds the machines that have a record
     */
    public void evictRemoved(Set<String> machineIds, Duration now) {
        byMachine
                .entrySet()
                .removeIf(entry -> !machineIds.contains(entry.getKey()) && isExpired(entry.getValue(), now));
    }

    private static boolean isExpired(WorkerState worker, Duration now) {
        return !worker.inspectionInFlight()
                && now.minus(worker.lastNewStatusAt()).compareTo(MIN_RETENTION_AFTER_REMOVAL) > 0;
    }
}
