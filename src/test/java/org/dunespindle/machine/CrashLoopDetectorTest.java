package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** Whether failures are attributed to the machine or to the job. */
class CrashLoopDetectorTest {
    private final Map<String, JobRecord> records = new HashMap<>();
    private final CrashLoopDetector crashLoopDetector =
            new CrashLoopDetector(id -> Optional.ofNullable(records.get(id)));

    /** Records a failed task with the detector and in the job's record. */
    private void failed(String jobId, String machineId) {
        records.put(jobId, record(jobId).withFailures(1, Optional.empty()));
        crashLoopDetector.recordFailure(jobId, machineId);
    }

    private JobRecord record(String jobId) {
        return records.computeIfAbsent(
                jobId,
                id -> JobRecord.accepted(
                        SubmissionBuilder.submission(id)
                                .priority(Priority.LOW)
                                .tasks(9)
                                .spot(true)
                                .imageGb(2)
                                .estimate(Duration.ofSeconds(4))
                                .build(),
                        Instant.EPOCH));
    }

    @Test
    void jobThatFailsEverywhereCountsAgainstNoMachine() {
        for (String job : new String[] {"wk-1", "wk-2", "wk-3"}) {
            for (String machine : new String[] {"a", "b"}) {
                failed(job, machine);
            }
        }
        assertTrue(crashLoopDetector.isCrashLooping("wk-1"));
        assertEquals(0, crashLoopDetector.jobsFailedOn("a"));
    }

    @Test
    void machineOnWhichDifferentJobsFailIsFaulty() {
        failed("wk-1", "a");
        failed("wk-1", "a");
        failed("wk-2", "a");
        failed("wk-3", "a");
        assertFalse(crashLoopDetector.isCrashLooping("wk-1"));
        assertEquals(3, crashLoopDetector.jobsFailedOn("a"));
        crashLoopDetector.recordSuccess("wk-4", "a");
        assertEquals(0, crashLoopDetector.jobsFailedOn("a"));
    }

    @Test
    void jobThatSucceededOnceIsNotCrashLoopingHoweverManyMachinesItFailsOn() {
        crashLoopDetector.recordSuccess("wk-1", "z");
        for (String machine : new String[] {"a", "b", "c", "d"}) {
            failed("wk-1", machine);
        }
        assertFalse(crashLoopDetector.isCrashLooping("wk-1"));
        assertEquals(1, crashLoopDetector.jobsFailedOn("a"));
    }

    /** A controller observes only its own machines; failures on other controllers' machines are counted in the job's record. */
    @Test
    void jobThatFailsElsewhereTooDoesNotCountAgainstTheMachine() {
        failed("wk-1", "a");
        failed("wk-2", "a");
        assertEquals(2, crashLoopDetector.jobsFailedOn("a"));
        records.put("wk-1", records.get("wk-1").withFailures(4, Optional.empty()));
        assertEquals(1, crashLoopDetector.jobsFailedOn("a"));
    }

    @Test
    void endedJobsAndGoneMachinesAreForgotten() {
        failed("wk-1", "a");
        failed("wk-2", "a");
        records.put("wk-1", records.get("wk-1").cancelled());
        crashLoopDetector.prune("a"::equals);
        assertEquals(1, crashLoopDetector.jobsFailedOn("a"));
        crashLoopDetector.prune("b"::equals);
        assertEquals(0, crashLoopDetector.jobsFailedOn("a"));
    }
}
