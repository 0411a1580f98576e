package org.dunespindle.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.ExitCause;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;

/**
 * Computes the difference between a machine's allocations and its worker's status: the commands to send, and the allocations that
 * have terminated. It has no side effects. The caller guarantees that the status is conclusive: it carries the current fencing token
 * and agent epoch, and no {@code run} command can still take effect.
 */
public final class HeartbeatReconciler {
    /** Added to a job's checkpoint time. */
    private static final Duration EXTRA_CHECKPOINT_GRACE = Duration.ofSeconds(3);

    private static final String DETAIL_RELEASED = "released";
    private static final String DETAIL_WITHOUT_CAUSE = "ended";
    private static final String DETAIL_SAVED_SUFFIX = ", saved";
    private final List<WorkerCommand> commands = new ArrayList<>();
    private final List<TaskTermination> terminations = new ArrayList<>();

    private HeartbeatReconciler() {}

    /** Compares a machine's allocations with its worker's status. */
    public static ReconciliationResult reconcile(List<PlacedTask> allocations, WorkerHeartbeat status) {
        var reconciler = new HeartbeatReconciler();
        Map<TaskId, List<TaskStatus>> attemptsByTask = attemptsByTask(status);
        Set<TaskId> allocated = new HashSet<>();
        for (PlacedTask placed : allocations) {
            var task = new TaskId(placed.job().id(), placed.allocation().task());
            allocated.add(task);
            reconciler.reconcileAllocation(placed, task, attemptsByTask.getOrDefault(task, List.of()));
        }
        attemptsByTask.forEach((task, attempts) -> {
            if (!allocated.contains(task)) {
                attempts.forEach(reconciler::removeAttempt);
            }
        });
        return new ReconciliationResult(reconciler.commands, reconciler.terminations);
    }

    private static Map<TaskId, List<TaskStatus>> attemptsByTask(WorkerHeartbeat status) {
        var attemptsByTask = new HashMap<TaskId, List<TaskStatus>>();
        for (TaskStatus attempt : status.tasks()) {
            attemptsByTask
                    .computeIfAbsent(attempt.task(), key -> new ArrayList<>(2))
                    .add(attempt);
        }
        return attemptsByTask;
    }

    private void reconcileAllocation(PlacedTask placed, TaskId task, List<TaskStatus> attempts) {
        long expectedAttempt = placed.job().expectedAttempt(placed.allocation());
        Optional<TaskStatus> expected = Optional.empty();
        boolean othersAlive = false;
        for (TaskStatus attempt : attempts) {
            if (attempt.attempt() == expectedAttempt) {
                expected = Optional.of(attempt);
            } else {
                // A placeholder to be replaced, or an obsolete attempt; the next status confirms that it has ended.
                othersAlive |= !attempt.exited();
                removeAttempt(attempt);
            }
        }
        if (expected.isEmpty()) {
            if (!othersAlive) {
                startOrRelease(placed, task, expectedAttempt);
            }
        } else if (!expected.get().exited()) {
            haltIfStopping(placed.job(), expected.get(), isStopping(placed));
        } else if (!othersAlive) {
            terminate(placed, cause(expected.get(), placed), detail(expected.get()));
        }
    }

    private void removeAttempt(TaskStatus attempt) {
        commands.add(
                attempt.exited()
                        ? new WorkerCommand.Forget(attempt.task(), attempt.attempt())
                        : new WorkerCommand.Halt(attempt.task(), attempt.attempt(), Duration.ZERO));
    }

    private void startOrRelease(PlacedTask placed, TaskId task, long attempt) {
        if (isStopping(placed)) {
            terminate(placed, TerminationCause.GONE, DETAIL_RELEASED);
        } else {
            commands.add(new WorkerCommand.Run(task, attempt));
        }
    }

    private void haltIfStopping(JobRecord job, TaskStatus attempt, boolean stopping) {
        if (!stopping) {
            return;
        }
        if (attempt.phase() != TaskPhase.SAVING) {
            commands.add(new WorkerCommand.Halt(attempt.task(), attempt.attempt(), checkpointGrace(job)));
        } else if (!job.isOpen()) {
            commands.add(new WorkerCommand.Halt(attempt.task(), attempt.attempt(), Duration.ZERO));
        }
    }

    private static boolean isStopping(PlacedTask placed) {
        return !placed.job().isOpen()
                || placed.allocation().stopping()
                || placed.job().gangPhase() == JobRecord.GangPhase.STOPPING;
    }

    /** The time for saving a checkpoint; zero for a cancelled job, which does not need one. */
    private static Duration checkpointGrace(JobRecord job) {
        return job.isOpen() && job.submission().checkpoints()
                ? job.submission().checkpointTime().plus(EXTRA_CHECKPOINT_GRACE)
                : Duration.ZERO;
    }

    private void terminate(PlacedTask placed, TerminationCause cause, String detail) {
        terminations.add(TaskTermination.of(placed, cause, detail));
    }

    private static TerminationCause cause(TaskStatus attempt, PlacedTask placed) {
        return switch (attempt.cause().orElse(ExitCause.STOPPED)) {
            case DONE -> TerminationCause.DONE;
            case ERROR -> TerminationCause.ERROR;
            case NO_ROOM, BUSY, UNKNOWN -> TerminationCause.REJECTED;
            case INCOMPLETE -> isAssembling(placed) ? TerminationCause.ASSEMBLY_TIMEOUT : TerminationCause.GONE;
            case STOPPED, PEERS -> TerminationCause.GONE;
        };
    }

    private static boolean isAssembling(PlacedTask placed) {
        return placed.job().gangPhase() == JobRecord.GangPhase.PLACEHOLDERS && !isStopping(placed);
    }

    private static String detail(TaskStatus attempt) {
        String cause = attempt.cause().map(ExitCause::wireName).orElse(DETAIL_WITHOUT_CAUSE);
        return attempt.saved() ? cause + DETAIL_SAVED_SUFFIX : cause;
    }
}
