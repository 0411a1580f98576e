package org.dunespindle.peer;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * The status of a machine as its owner publishes it.
 *
 * @param sequence grows with every change of any machine of this owner
 * @param token the fencing token that the owner commands the machine with
 * @param up whether the machine accepts tasks
 * @param silentFor how long the machine has been silent; zero while it is up
 * @param images the images that the machine has cached
 */
public record MachineStatus(
        String machineId,
        long sequence,
        long token,
        boolean up,
        boolean quarantined,
        Duration silentFor,
        String address,
        Set<String> images) {

    /** The part of the status that is sent. */
    MachineReport toReport() {
        return new MachineReport(machineId, token, up, quarantined, silentFor, address, List.copyOf(images));
    }
}
