package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** Whether what failed is held against the machine or the job. */
class CrashLoopDetectorTest {
    private final Map<String, JobRecord> records = new HashMap<>();
    private final CrashLoopDetector crashLoopDetector =
            new CrashLoopDetector(id -> Optional.ofNullable(records.get(id)));

    /** A job's task fails, and its record tells of it. */
    private void failed(String job, String machine) {
        records.put(job, record(job).withFailures(1, Optional.empty()));
        crashLoopDetector.failed(job, machine);
    }

    private JobRecord record(String job) {
        return records.computeIfAbsent(
                job,
                id -> JobRecord.accepted(
                        new Submission(
                                id,
                                "class",
                                "red",
                                JobKind.ARRAY,
                                Priority.LOW,
                                9,
                                new Resources(1, 1, 1),
                                Optional.empty(),
                                Optional.empty(),
                                false,
                                false,
                                true,
                                "image",
                                2,
                                Duration.ofSeconds(4),
                                Duration.ZERO,
                                Duration.ZERO,
                                Optional.empty()),
                        Instant.EPOCH));
    }

    @Test
    void aJobThatFailsEverywhereIsHeldAgainstNoMachine() {
        for (String job : new String[] {"wk-1", "wk-2", "wk-3"}) {
            for (String machine : new String[] {"a", "b"}) {
                failed(job, machine);
            }
        }
        assertTrue(crashLoopDetector.isCrashLooping("wk-1"));
        assertEquals(0, crashLoopDetector.jobsFailedOn("a"));
    }

    @Test
    void aMachineOnWhichDifferentJobsFailIsFaulty() {
        failed("wk-1", "a");
        failed("wk-1", "a");
        failed("wk-2", "a");
        failed("wk-3", "a");
        assertFalse(crashLoopDetector.isCrashLooping("wk-1"));
        assertEquals(3, crashLoopDetector.jobsFailedOn("a"));
        crashLoopDetector.succeeded("wk-4", "a");
        assertEquals(0, crashLoopDetector.jobsFailedOn("a"));
    }

    @Test
    void oneThatEndedWellSomewhereIsNotFaultyHoweverManyMachinesAre() {
        crashLoopDetector.succeeded("wk-1", "z");
        for (String machine : new String[] {"a", "b", "c", "d"}) {
            failed("wk-1", machine);
        }
        assertFalse(crashLoopDetector.isCrashLooping("wk-1"));
        assertEquals(1, crashLoopDetector.jobsFailedOn("a"));
    }

    /** Two faulty jobs that met on one machine first: the other controllers' machines saw them fail too, and the records tell. */
    @Test
    void whatFailsElsewhereTooSaysNothingAboutOneMachine() {
        failed("wk-1", "a");
        failed("wk-2", "a");
        assertEquals(2, crashLoopDetector.jobsFailedOn("a"));
        records.put("wk-1", records.get("wk-1").withFailures(4, Optional.empty()));
        assertEquals(1, crashLoopDetector.jobsFailedOn("a"));
    }

    @Test
    void whatIsOverIsForgotten() {
        failed("wk-1", "a");
        failed("wk-2", "a");
        records.put("wk-1", records.get("wk-1").cancelled());
        crashLoopDetector.prune("a"::equals);
        assertEquals(1, crashLoopDetector.jobsFailedOn("a"));
        crashLoopDetector.prune("b"::equals);
        assertEquals(0, crashLoopDetector.jobsFailedOn("a"));
    }
}
