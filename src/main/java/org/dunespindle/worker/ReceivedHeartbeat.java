package org.dunespindle.worker;

import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;

/**
 * A received heartbeat that has not been answered yet.
 *
 * @param worker the sender's state, in which the heartbeat is already recorded
 * @param newer whether it is newer than every earlier status from the sender, so not a late copy
 */
record ReceivedHeartbeat(WorkerHeartbeat heartbeat, WorkerState worker, boolean newer) {
    String machineId() {
        return heartbeat.machineId();
    }

    /** Whether the sender has seen exactly the stored fencing token. */
    boolean hasTokenOf(MachineRecord machine) {
        return heartbeat.token() == machine.token();
    }

    /**
     * Whether the sender accepts replies under the stored token. A worker that has seen a higher token drops them until its lease has
     * expired.
     */
    boolean acceptsTokenOf(MachineRecord machine) {
        return heartbeat.token() <= machine.token();
    }
}
