package org.dunespindle.worker;

import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;

/**
 * A heartbeat that is to be answered.
 *
 * @param worker the sender's state, in which the heartbeat is recorded already
 * @param newer whether it is newer than all that came from the sender before, so not a late copy
 */
record ReceivedHeartbeat(WorkerHeartbeat heartbeat, WorkerState worker, boolean newer) {
    String machineId() {
        return heartbeat.machineId();
    }

    /** Whether the sender has seen exactly the token that is stored. */
    boolean hasTokenOf(MachineRecord machine) {
        return heartbeat.token() == machine.token();
    }

    /**
     * Whether the sender accepts replies under the stored token. One that has seen a higher token drops them, and waits until its
     * lease has expired.
     */
    boolean acceptsTokenOf(MachineRecord machine) {
        return heartbeat.token() <= machine.token();
    }
}
