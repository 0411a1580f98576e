package org.dunespindle.peer;

import java.time.Duration;
import java.util.Set;

/** A machine's state as its owner tells it, with a number that grows with every change. */
public record MachineStatus(
        String machineId,
        long sequence,
        long token,
        boolean up,
        boolean quarantined,
        Duration silentFor,
        String address,
        Set<String> images) {
    /** Brackets, numbers and separators of a row, at most. */
    private static final int ROW_FRAME = 64;

    /** About how long its row is. */
    int characters() {
        int sum = ROW_FRAME + machineId.length() + address.length();
        for (String image : images) {
            sum += image.length() + 3;
        }
        return sum;
    }
}
