package org.dunespindle.peer;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * The status of a machine that its owner reports to the leader.
 *
 * @param sequence increases with every change of any machine of this owner
 * @param token the fencing token in the owner's commands to the machine
 * @param up whether the machine accepts tasks
 * @param timeSinceLastSeen the time since the machine's last sign of life; zero while it is up
 * @param images the images that the machine has cached
 */
public record MachineStatus(
        String machineId,
        long sequence,
        long token,
        boolean up,
        boolean quarantined,
        Duration timeSinceLastSeen,
        String address,
        Set<String> images) {

    /** The part of the status that is sent to the leader. */
    MachineReport toReport() {
        return new MachineReport(machineId, token, up, quarantined, timeSinceLastSeen, address, List.copyOf(images));
    }
}
