package org.dunespindle.scheduling;

import java.util.Set;
import org.dunespindle.protocol.Resources;

/**
 * A machine as a plan sees it.
 *
 * @param spot whether the cloud may reclaim the machine at short notice
 * @param capacity what the machine offers when it is empty
 * @param up whether it accepts tasks; otherwise it is planned as a booting one
 * @param owned whether this controller owns it and so may place tasks on it
 * @param images the images that it has fetched
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
