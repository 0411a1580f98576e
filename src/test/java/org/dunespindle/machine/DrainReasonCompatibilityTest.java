package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.dunespindle.storage.MachineRecord;
import org.junit.jupiter.api.Test;

/** Drain reasons are stored in machine records and shown to operators, so their texts must not change with identifiers. */
class DrainReasonCompatibilityTest {
    @Test
    void drainReasonTextsAreStable() {
        assertEquals("it is idle", DrainReason.IDLE.text());
        assertEquals("it fails its tasks", DrainReason.FAILS_TASKS.text());
        assertEquals("it failed", DrainReason.FAILED.text());
        assertEquals("it runs but no controller hears it", DrainReason.RUNNING_WITHOUT_HEARTBEAT.text());
        assertEquals("it did not come up in time", DrainReason.BOOT_TIMED_OUT.text());
        assertEquals("it reports but takes no commands", DrainReason.UNREACHABLE_FOR_COMMANDS.text());
        assertEquals("it is silent, and cancelled tasks on it must end", DrainReason.CANCELLED_TASKS_DUE.text());
        assertEquals(
                "it has been silent for 17 s",
                DrainReason.noHeartbeatFor(Duration.ofMillis(17_900)).text());
    }

    /** Only machines with heartbeats are stored as draining; an idle one is not worth that write while commits are queued. */
    @Test
    void onlyMachinesWithHeartbeatsAreDrainedFirst() {
        assertEquals(DrainReason.Procedure.DRAIN_UNLESS_COMMITS_QUEUE, DrainReason.IDLE.procedure());
        assertEquals(DrainReason.Procedure.DRAIN, DrainReason.FAILS_TASKS.procedure());
        assertEquals(DrainReason.Procedure.TERMINATE, DrainReason.FAILED.procedure());
        assertEquals(DrainReason.Procedure.TERMINATE, DrainReason.RUNNING_WITHOUT_HEARTBEAT.procedure());
        assertEquals(DrainReason.Procedure.TERMINATE, DrainReason.BOOT_TIMED_OUT.procedure());
        assertEquals(DrainReason.Procedure.TERMINATE, DrainReason.UNREACHABLE_FOR_COMMANDS.procedure());
        assertEquals(DrainReason.Procedure.TERMINATE, DrainReason.CANCELLED_TASKS_DUE.procedure());
        assertEquals(
                DrainReason.Procedure.TERMINATE,
                DrainReason.noHeartbeatFor(Duration.ofSeconds(17)).procedure());
        assertEquals(MachineRecord.DRAIN_REASON_IDLE, DrainReason.IDLE.text());
    }
}
