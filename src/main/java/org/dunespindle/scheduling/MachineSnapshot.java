package org.dunespindle.scheduling;

import java.util.Set;
import org.dunespindle.protocol.Resources;

/**
 * The state of a machine as input of a plan.
 *
 * @param spot whether the cloud may reclaim the machine at short notice
 * @param capacity the total resources of the machine
 * @param up whether it accepts tasks; otherwise it is planned as a booting machine
 * @param owned whether this controller owns it and may therefore place tasks on it
 * @param images the images present on the machine
 */
public record MachineSnapshot(
        String id,
        String type,
        String zone,
        boolean spot,
        Resources capacity,
        boolean up,
        boolean owned,
        Set<String> images) {}
