package org.dunespindle.machine;

import java.time.Duration;
import org.dunespindle.storage.MachineRecord;

/**
 * Why a machine is to be terminated, and by which procedure.
 *
 * @param procedure how the machine is taken out of service
 * @param text the reason as stored in the machine record and shown to operators; part of the stored format
 */
record DrainReason(Procedure procedure, String text) {
    static final DrainReason IDLE =
            new DrainReason(Procedure.DRAIN_UNLESS_COMMITS_QUEUE, MachineRecord.DRAIN_REASON_IDLE);
    static final DrainReason FAILS_TASKS = new DrainReason(Procedure.DRAIN, "it fails its tasks");
    static final DrainReason FAILED = new DrainReason(Procedure.TERMINATE, "it failed");
    static final DrainReason RUNNING_WITHOUT_HEARTBEAT =
            new DrainReason(Procedure.TERMINATE, "it runs but no controller hears it");
    static final DrainReason BOOT_TIMED_OUT = new DrainReason(Procedure.TERMINATE, "it did not come up in time");
    static final DrainReason CANCELLED_TASKS_DUE =
            new DrainReason(Procedure.TERMINATE, "it is silent, and cancelled tasks on it must end");
    static final DrainReason UNREACHABLE_FOR_COMMANDS =
            new DrainReason(Procedure.TERMINATE, "it reports but takes no commands");

    /** How a machine is taken out of service. */
    enum Procedure {
        /** Drain, but only while the commit queue is short, since the termination is not urgent. */
        DRAIN_UNLESS_COMMITS_QUEUE,
        /** Store the machine as draining first, so that no further task is placed on it, then terminate it. */
        DRAIN,
        /** Terminate without storing the machine as draining first. */
        TERMINATE
    }

    /** The reason for a machine from which no controller has received a heartbeat for the given time. */
    static DrainReason noHeartbeatFor(Duration heartbeatAge) {
        return new DrainReason(Procedure.TERMINATE, "it has been silent for " + heartbeatAge.toSeconds() + " s");
    }
}
