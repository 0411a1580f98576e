package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;

/** Tracks which machines hold gangs, and when a gang was last present or planned on each machine owned by this controller. */
final class GangPresence {
    private final StateReplica replica;
    private final Map<String, Duration> lastGangAt = new HashMap<>();

    GangPresence(StateReplica replica) {
        this.replica = replica;
    }

    /** Whether a member or a placeholder of a gang is allocated on a machine. */
    boolean hasGang(MachineRecord machine) {
        for (PlacedTask placed : replica.allocationsOn(machine.id())) {
            if (placed.job().spec().isPresent() && placed.job().submission().isGang()) {
                return true;
            }
        }
        return false;
    }

    /** Machines with placeholders of gangs that are not running yet, sorted by machine id. */
    Set<String> machinesWithPlaceholders() {
        var machineIds = new TreeSet<String>();
        for (JobRecord job : replica.activeJobs()) {
            if (job.isOpen() && job.submission().isGang() && job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS) {
                job.allocations().forEach(allocation -> machineIds.add(allocation.machineId()));
            }
        }
        return machineIds;
    }

    /** Records that a gang is present or planned on a machine. */
    void recordGang(String machineId, Duration now) {
        lastGangAt.put(machineId, now);
    }

    /** When a gang was last recorded on a machine; empty if never. */
    Optional<Duration> lastGangAt(String machineId) {
        return Optional.ofNullable(lastGangAt.get(machineId));
    }

    /** Drops the records of all machines other than the given ones. */
    void retainMachines(Set<String> machineIds) {
        lastGangAt.keySet().retainAll(machineIds);
    }
}
