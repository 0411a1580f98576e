package org.dunespindle.peer;

import java.time.Duration;
import java.util.List;

/** The status of a machine in a heartbeat from its owner to the leader; see {@link MachineStatus} for the fields. */
record MachineReport(
        String machineId,
        long token,
        boolean up,
        boolean quarantined,
        Duration timeSinceLastSeen,
        String address,
        List<String> images) {
    /** Upper bound of the number of characters for brackets, numbers and separators. */
    private static final int MAX_ROW_OVERHEAD = 64;

    /** Two quotes and a comma. */
    private static final int IMAGE_OVERHEAD = 3;

    /** The approximate length of the encoded report in characters. */
    int estimatedLength() {
        int length = MAX_ROW_OVERHEAD + machineId.length() + address.length();
        for (String image : images) {
            length += image.length() + IMAGE_OVERHEAD;
        }
        return length;
    }
}
