package org.dunespindle.peer;

import java.time.Duration;
import java.util.List;

/** The status of a machine as a heartbeat carries it from its owner to the leader. */
record MachineReport(
        String machineId,
        long token,
        boolean up,
        boolean quarantined,
        Duration silentFor,
        String address,
        List<String> images) {
    /** Upper bound of the characters that brackets, numbers and separators take. */
    private static final int MAX_ROW_OVERHEAD = 64;

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
