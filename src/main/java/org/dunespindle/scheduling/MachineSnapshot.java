package org.dunespindle.scheduling;

import java.util.Set;
import org.dunespindle.protocol.Resources;

/** A machine as the plan sees it. */
public record MachineSnapshot(
        String id,
        String type,
        String zone,
        boolean spot,
        Resources size,
        boolean up,
        boolean owned,
        Set<String> images) {}
