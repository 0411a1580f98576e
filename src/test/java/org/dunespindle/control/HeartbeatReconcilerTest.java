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
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;
import org.junit.jupiter.api.Test;

/** The commands and terminations that follow from a conclusive status. */
class HeartbeatReconcilerTest {
    private static final TaskId TASK = new TaskId("wk-000001", 0);

    private static JobRecord job(JobKind kind, int tasks, Duration checkpointTime) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-000001")
                        .jobClass("c")
                        .team("t")
                        .kind(kind)
                        .priority(Priority.URGENT)
                        .tasks(tasks)
                        .image("i")
                        .estimate(Duration.ofSeconds(1))
                        .checkpointInterval(checkpointTime)
                        .checkpointTime(Duration.ofSeconds(4))
                        .build(),
                Instant.EPOCH);
    }

    private static JobRecord gangOfPlaceholders() {
        return job(JobKind.GANG, 2, Duration.ZERO).withPlaced(new TreeMap<>(Map.of(0, "h", 1, "k")));
    }

    private static ReconciliationResult reconcile(JobRecord job, TaskStatus... tasks) {
        List<PlacedTask> allocations = job.allocations().stream()
                .filter(allocation -> allocation.machineId().equals("h"))
                .map(allocation -> new PlacedTask(job, allocation))
                .toList();
        return HeartbeatReconciler.reconcile(
                allocations,
                new WorkerHeartbeat("h", "a:1", "m", "z", false, 1, 1, 1, Optional.empty(), List.of(tasks)));
    }

    private static TaskStatus status(long attempt, TaskPhase phase) {
        return new TaskStatus(TASK, attempt, phase, Optional.empty(), false);
    }

    private static TaskStatus exited(long attempt, ExitCause cause) {
        return new TaskStatus(TASK, attempt, TaskPhase.EXITED, Optional.of(cause), false);
    }

    private static long placeholderAttempt(JobRecord job) {
        return job.allocation(0).orElseThrow().attemptBase();
    }

    @Test
    void aGangTaskStartsOnceItsPlaceholderIsConfirmedToHaveEnded() {
        JobRecord running = gangOfPlaceholders().withGangRunning();
        assertEquals(
                List.of(new WorkerCommand.Halt(TASK, placeholderAttempt(running), Duration.ZERO)),
                reconcile(running, status(placeholderAttempt(running), TaskPhase.ASSEMBLING))
                        .commands());
        var confirmed = reconcile(running, exited(placeholderAttempt(running), ExitCause.STOPPED))
                .commands();
        assertTrue(confirmed.contains(new WorkerCommand.Run(TASK, running.gangAttempt())));
        assertTrue(confirmed.contains(new WorkerCommand.Forget(TASK, placeholderAttempt(running))));
    }

    @Test
    void aPlaceholderWhoseAssemblyTimedOutIsReplaced() {
        JobRecord job = gangOfPlaceholders();
        var terminations = reconcile(job, exited(placeholderAttempt(job), ExitCause.INCOMPLETE))
                .terminations();
        assertEquals(TerminationCause.ASSEMBLY_TIMEOUT, terminations.get(0).cause());
        JobRecord after = JobTransitions.apply(job, terminations, Instant.EPOCH);
        assertEquals(2, after.allocations().size());
        assertTrue(placeholderAttempt(after) > placeholderAttempt(job));
    }

    @Test
    void aTerminationIsStoredBeforeItsAttemptIsForgotten() {
        JobRecord job = job(JobKind.ARRAY, 1, Duration.ZERO).withPlaced(new TreeMap<>(Map.of(0, "h")));
        var result = reconcile(job, exited(placeholderAttempt(job), ExitCause.DONE));
        assertEquals(List.of(), result.commands());
        JobRecord done = JobTransitions.apply(job, result.terminations(), Instant.EPOCH);
        assertEquals(JobRecord.Outcome.DONE, done.outcome());
        assertEquals(
                List.of(new WorkerCommand.Forget(TASK, placeholderAttempt(job))),
                reconcile(done, exited(placeholderAttempt(job), ExitCause.DONE)).commands());
    }

    @Test
    void aCancelledTaskIsHaltedWithoutGraceEvenWhileSaving() {
        JobRecord job = job(JobKind.ARRAY, 1, Duration.ofSeconds(5))
                .withPlaced(new TreeMap<>(Map.of(0, "h")))
                .cancelled();
        assertEquals(
                List.of(new WorkerCommand.Halt(TASK, placeholderAttempt(job), Duration.ZERO)),
                reconcile(job, status(placeholderAttempt(job), TaskPhase.SAVING))
                        .commands());
        assertEquals(TerminationCause.GONE, reconcile(job).terminations().get(0).cause());
    }

    @Test
    void aPreemptedTaskMaySaveACheckpoint() {
        JobRecord job = job(JobKind.ARRAY, 1, Duration.ofSeconds(5))
                .withPlaced(new TreeMap<>(Map.of(0, "h")))
                .withTaskStopping(0);
        WorkerCommand.Halt halt =
                (WorkerCommand.Halt) reconcile(job, status(placeholderAttempt(job), TaskPhase.RUNNING))
                        .commands()
                        .get(0);
        assertTrue(halt.grace().compareTo(job.submission().checkpointTime()) >= 0);
        assertEquals(
                List.of(),
                reconcile(job, status(placeholderAttempt(job), TaskPhase.SAVING))
                        .commands());
    }

    @Test
    void theLossOfOneMemberRequeuesTheWholeGang() {
        JobRecord running = gangOfPlaceholders().withGangRunning();
        var terminations = reconcile(running, exited(running.gangAttempt(), ExitCause.PEERS))
                .terminations();
        JobRecord after = JobTransitions.apply(running, terminations, Instant.EPOCH);
        assertEquals(JobRecord.GangPhase.STOPPING, after.gangPhase());
        assertEquals(0, after.unplacedCount());
        JobRecord free = after.withReleased(1, false);
        assertEquals(JobRecord.GangPhase.QUEUED, free.gangPhase());
        assertEquals(2, free.unplacedCount());
    }

    /** Terminations are stored in batches, so the task may be placed again on the same machine before its termination is stored. */
    @Test
    void anOldTerminationDoesNotEndALaterAttempt() {
        JobRecord first = job(JobKind.ARRAY, 1, Duration.ZERO).withPlaced(new TreeMap<>(Map.of(0, "h")));
        var oldTerminations = reconcile(first, exited(placeholderAttempt(first), ExitCause.STOPPED))
                .terminations();
        JobRecord placedAgain =
                JobTransitions.apply(first, oldTerminations, Instant.EPOCH).withPlaced(new TreeMap<>(Map.of(0, "h")));
        assertEquals(placedAgain, JobTransitions.apply(placedAgain, oldTerminations, Instant.EPOCH));
    }

    @Test
    void aGangIsDoneAsAWhole() {
        JobRecord running = gangOfPlaceholders().withGangRunning();
        JobRecord after = JobTransitions.apply(
                running,
                reconcile(running, exited(running.gangAttempt(), ExitCause.DONE))
                        .terminations(),
                Instant.EPOCH);
        assertEquals(JobRecord.Outcome.DONE, after.outcome());
    }

    @Test
    void aJobThatFailsRepeatedlyBacksOff() {
        JobRecord job = job(JobKind.ARRAY, 1, Duration.ZERO);
        for (int i = 0; i < 6; i++) {
            job = job.withPlaced(new TreeMap<>(Map.of(0, "h")));
            job = JobTransitions.apply(
                    job,
                    List.of(new TaskTermination(
                            job.id(),
                            0,
                            job.allocation(0).orElseThrow().attemptBase(),
                            TerminationCause.ERROR,
                            "error")),
                    Instant.EPOCH);
        }
        assertTrue(job.notBefore().orElseThrow().isAfter(Instant.EPOCH.plusSeconds(4)));
    }

    @Test
    void reportedTasksWithoutAnAllocationAreHalted() {
        var result = HeartbeatReconciler.reconcile(
                List.of(),
                new WorkerHeartbeat(
                        "h", "a:1", "m", "z", false, 1, 1, 1, Optional.empty(), List.of(status(3, TaskPhase.RUNNING))));
        assertEquals(List.of(new WorkerCommand.Halt(TASK, 3, Duration.ZERO)), result.commands());
    }
}
