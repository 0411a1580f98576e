package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.job.JobTransitions;
import org.dunespindle.protocol.ExitCause;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;
import org.junit.jupiter.api.Test;

/** What is ordered and concluded from a report that is proof. */
class HeartbeatReconcilerTest {
    private static final TaskId FIRST = new TaskId("wk-000001", 0);

    private static JobRecord job(JobKind shape, int tasks, Duration saves) {
        return JobRecord.accepted(
                new Submission(
                        "wk-000001",
                        "c",
                        "t",
                        shape,
                        Priority.URGENT,
                        tasks,
                        new Resources(1, 1, 1),
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        false,
                        false,
                        "i",
                        1,
                        Duration.ofSeconds(1),
                        saves,
                        Duration.ofSeconds(4),
                        Optional.empty()),
                Instant.EPOCH);
    }

    private static JobRecord held() {
        return job(JobKind.GANG, 2, Duration.ZERO).withPlaced(new TreeMap<>(Map.of(0, "h", 1, "k")));
    }

    private static ReconciliationResult judge(JobRecord j, TaskStatus... tasks) {
        List<PlacedTask> allocations = j.allocations().stream()
                .filter(c -> c.machineId().equals("h"))
                .map(c -> new PlacedTask(j, c))
                .toList();
        return HeartbeatReconciler.reconcile(
                allocations, new WorkerHeartbeat("h", "a:1", "m", "z", false, 1, 1, 1, Optional.empty(), List.of(tasks)));
    }

    private static TaskStatus status(long attempt, TaskPhase phase) {
        return new TaskStatus(FIRST, attempt, phase, Optional.empty(), false);
    }

    private static TaskStatus exited(long attempt, ExitCause cause) {
        return new TaskStatus(FIRST, attempt, TaskPhase.EXITED, Optional.of(cause), false);
    }

    private static long placeholder(JobRecord j) {
        return j.allocation(0).orElseThrow().attemptBase();
    }

    @Test
    void aRealTaskWaitsForTheConfirmedReleaseOfItsPlaceholder() {
        JobRecord real = held().withGangRunning();
        assertEquals(
                List.of(new WorkerCommand.Halt(FIRST, placeholder(real), Duration.ZERO)),
                judge(real, status(placeholder(real), TaskPhase.ASSEMBLING)).commands());
        var confirmed =
                judge(real, exited(placeholder(real), ExitCause.STOPPED)).commands();
        assertTrue(confirmed.contains(new WorkerCommand.Run(FIRST, real.gangAttempt())));
        assertTrue(confirmed.contains(new WorkerCommand.Forget(FIRST, placeholder(real))));
    }

    @Test
    void aPlaceholderThatWaitedInVainIsBookedAgain() {
        JobRecord j = held();
        var events = judge(j, exited(placeholder(j), ExitCause.INCOMPLETE)).terminations();
        assertEquals(TerminationCause.ASSEMBLY_TIMEOUT, events.get(0).cause());
        JobRecord after = JobTransitions.apply(j, events, Instant.EPOCH);
        assertEquals(2, after.allocations().size());
        assertTrue(placeholder(after) > placeholder(j));
    }

    @Test
    void anOutcomeIsStoredBeforeItIsForgotten() {
        JobRecord j = job(JobKind.ARRAY, 1, Duration.ZERO).withPlaced(new TreeMap<>(Map.of(0, "h")));
        var verdict = judge(j, exited(placeholder(j), ExitCause.DONE));
        assertEquals(List.of(), verdict.commands());
        JobRecord done = JobTransitions.apply(j, verdict.terminations(), Instant.EPOCH);
        assertEquals(JobRecord.Outcome.DONE, done.outcome());
        assertEquals(
                List.of(new WorkerCommand.Forget(FIRST, placeholder(j))),
                judge(done, exited(placeholder(j), ExitCause.DONE)).commands());
    }

    @Test
    void aCancelledTaskIsStoppedWithoutGraceEvenWhileSaving() {
        JobRecord j = job(JobKind.ARRAY, 1, Duration.ofSeconds(5))
                .withPlaced(new TreeMap<>(Map.of(0, "h")))
                .cancelled();
        assertEquals(
                List.of(new WorkerCommand.Halt(FIRST, placeholder(j), Duration.ZERO)),
                judge(j, status(placeholder(j), TaskPhase.SAVING)).commands());
        assertEquals(TerminationCause.GONE, judge(j).terminations().get(0).cause());
    }

    @Test
    void aTaskThatGivesWayMaySave() {
        JobRecord j = job(JobKind.ARRAY, 1, Duration.ofSeconds(5))
                .withPlaced(new TreeMap<>(Map.of(0, "h")))
                .withTaskStopping(0);
        WorkerCommand.Halt halt = (WorkerCommand.Halt)
                judge(j, status(placeholder(j), TaskPhase.RUNNING)).commands().get(0);
        assertTrue(halt.grace().compareTo(j.submission().checkpointTime()) >= 0);
        assertEquals(
                List.of(), judge(j, status(placeholder(j), TaskPhase.SAVING)).commands());
    }

    @Test
    void oneLostMemberSendsTheWholeGangBackToPlacement() {
        JobRecord real = held().withGangRunning();
        var events = judge(real, exited(real.gangAttempt(), ExitCause.PEERS)).terminations();
        JobRecord after = JobTransitions.apply(real, events, Instant.EPOCH);
        assertEquals(JobRecord.GangPhase.STOPPING, after.gangPhase());
        assertEquals(0, after.unplacedCount());
        JobRecord free = after.withReleased(1, false);
        assertEquals(JobRecord.GangPhase.QUEUED, free.gangPhase());
        assertEquals(2, free.unplacedCount());
    }

    /** Outcomes are gathered before they are stored, and by then the task may be under way again on the same machine. */
    @Test
    void anOldOutcomeDoesNotEndALaterStart() {
        JobRecord first = job(JobKind.ARRAY, 1, Duration.ZERO).withPlaced(new TreeMap<>(Map.of(0, "h")));
        var old = judge(first, exited(placeholder(first), ExitCause.STOPPED)).terminations();
        JobRecord again = JobTransitions.apply(first, old, Instant.EPOCH).withPlaced(new TreeMap<>(Map.of(0, "h")));
        assertEquals(again, JobTransitions.apply(again, old, Instant.EPOCH));
    }

    @Test
    void aGangIsDoneAsOne() {
        JobRecord real = held().withGangRunning();
        JobRecord after = JobTransitions.apply(
                real, judge(real, exited(real.gangAttempt(), ExitCause.DONE)).terminations(), Instant.EPOCH);
        assertEquals(JobRecord.Outcome.DONE, after.outcome());
    }

    @Test
    void aJobThatFailsEverywhereBacksOff() {
        JobRecord j = job(JobKind.ARRAY, 1, Duration.ZERO);
        for (int i = 0; i < 6; i++) {
            j = j.withPlaced(new TreeMap<>(Map.of(0, "h")));
            j = JobTransitions.apply(
                    j,
                    List.of(new TaskTermination(
                            j.id(), 0, j.allocation(0).orElseThrow().attemptBase(), TerminationCause.ERROR, "error")),
                    Instant.EPOCH);
        }
        assertTrue(j.notBefore().orElseThrow().isAfter(Instant.EPOCH.plusSeconds(4)));
    }

    @Test
    void tasksThatNobodyClaimsAreStopped() {
        var verdict = HeartbeatReconciler.reconcile(
                List.of(),
                new WorkerHeartbeat(
                        "h", "a:1", "m", "z", false, 1, 1, 1, Optional.empty(), List.of(status(3, TaskPhase.RUNNING))));
        assertEquals(List.of(new WorkerCommand.Halt(FIRST, 3, Duration.ZERO)), verdict.commands());
    }
}
