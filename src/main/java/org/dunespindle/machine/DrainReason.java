package org.dunespindle.machine;

import java.time.Duration;
import org.dunespindle.storage.MachineRecord;

/**
 * Why a machine is to be terminated, and how.
 *
 * @param text the reason as it is stored with the machine and shown to operators
 */
record DrainReason(Procedure procedure, String text) {
    static final DrainReason IDLE =
            new DrainReason(Procedure.DRAIN_UNLESS_COMMITS_QUEUE, MachineRecord.DRAIN_REASON_IDLE);
    static final DrainReason FAILS_TASKS = new DrainReason(Procedure.DRAIN, "it fails its tasks");
    static final DrainReason FAILED = new DrainReason(Procedure.TERMINATE, "it failed");
    static final DrainReason RUNS_UNHEARD = new DrainReason(Procedure.TERMINATE, "it runs but no controller hears it");
    static final DrainReason BOOT_TIMED_OUT = new DrainReason(Procedure.TERMINATE, "it did not come up in time");
    static final DrainReason TAKES_NO_COMMANDS =
            new DrainReason(Procedure.TERMINATE, "it reports but takes no commands");

    /** How a machine is taken out of service. */
    enum Procedure {
        /** Drained, but only while the commit queue is short: this is not urgent. */
        DRAIN_UNLESS_COMMITS_QUEUE,
        /** Recorded as draining first, so that nothing more is placed on it, then terminated. */
        DRAIN,
        /** Terminated without recording that first. */
        TERMINATE
    }

    /** A machine that no controller has heard for too long. */
    static DrainReason silentFor(Duration silence) {
        return new DrainReason(Procedure.TERMINATE, "it has been silent for " + silence.toSeconds() + " s");
    }
}
