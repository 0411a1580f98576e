package org.dunespindle.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * Works out the difference between what should be on a machine and what its worker reports: commands to
 * send, and what became of allocations. Pure; the caller vouches that the report is proof, that is, it comes
 * under the present token and session and no {@code run} can still be under way.
 */
public final class HeartbeatReconciler {
    private static final Duration EXTRA_GRACE = Duration.ofSeconds(3);

    private HeartbeatReconciler() {}

    /** Compares a machine's allocations with what its worker reports. */
    public static ReconciliationResult reconcile(List<PlacedTask> allocations, WorkerHeartbeat heartbeat) {
        var commands = new ArrayList<WorkerCommand>();
        var terminations = new ArrayList<TaskTermination>();
        var byTask = new HashMap<TaskId, List<TaskStatus>>();
        heartbeat
                .tasks()
                .forEach(task -> byTask.computeIfAbsent(task.task(), k -> new ArrayList<>(2))
                        .add(task));
        Set<TaskId> allocated = new HashSet<>();
        for (PlacedTask placed : allocations) {
            TaskId id = new TaskId(placed.job().id(), placed.allocation().task());
            allocated.add(id);
            judgeClaim(placed, id, byTask.getOrDefault(id, List.of()), commands, terminations);
        }
        for (Map.Entry<TaskId, List<TaskStatus>> e : byTask.entrySet()) {
            if (!allocated.contains(e.getKey())) {
                e.getValue()
                        .forEach(task -> commands.add(
                                task.exited()
                                        ? new WorkerCommand.Forget(task.task(), task.attempt())
                                        : new WorkerCommand.Halt(task.task(), task.attempt(), Duration.ZERO)));
            }
        }
        return new ReconciliationResult(commands, terminations);
    }

    private static void judgeClaim(
            PlacedTask placed,
            TaskId id,
            List<TaskStatus> present,
            List<WorkerCommand> commands,
            List<TaskTermination> terminations) {
        JobRecord job = placed.job();
        long wanted = job.expectedAttempt(placed.allocation());
        boolean stop =
                !job.isOpen() || placed.allocation().stopping() || job.gangPhase() == JobRecord.GangPhase.STOPPING;
        boolean othersLive = false;
        TaskStatus own = null;
        for (TaskStatus task : present) {
            if (task.attempt() == wanted) {
                own = task;
            } else if (task.exited()) {
                commands.add(new WorkerCommand.Forget(id, task.attempt()));
            } else {
                othersLive = true;
                // Another attempt: a placeholder to be replaced, or a leftover. Its release is confirmed by the next
                // report.
                commands.add(new WorkerCommand.Halt(id, task.attempt(), Duration.ZERO));
            }
        }
        if (own != null && own.exited()) {
            if (!othersLive) {
                terminations.add(new TaskTermination(
                        job.id(), id.index(), placed.allocation().attemptBase(), fate(own, job, placed), why(own)));
            }
        } else if (own != null) {
            if (stop && own.phase() != TaskPhase.SAVING) {
                commands.add(new WorkerCommand.Halt(id, wanted, grace(job)));
            } else if (stop && !job.isOpen()) {
                commands.add(new WorkerCommand.Halt(id, wanted, Duration.ZERO));
            }
        } else if (!othersLive) {
            if (stop) {
                terminations.add(new TaskTermination(
                        job.id(), id.index(), placed.allocation().attemptBase(), TerminationCause.GONE, "released"));
            } else {
                commands.add(new WorkerCommand.Run(id, wanted));
            }
        }
    }

    /** A cancelled job's progress is of no use to anybody; others may save. */
    private static Duration grace(JobRecord job) {
        return job.isOpen() && job.submission().checkpoints()
                ? job.submission().checkpointTime().plus(EXTRA_GRACE)
                : Duration.ZERO;
    }

    private static TerminationCause fate(TaskStatus task, JobRecord job, PlacedTask placed) {
        return switch (task.cause().orElse(ExitCause.STOPPED)) {
            case DONE -> TerminationCause.DONE;
            case ERROR -> TerminationCause.ERROR;
            case NO_ROOM, BUSY, UNKNOWN -> TerminationCause.REJECTED;
            case INCOMPLETE ->
                job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS
                                && job.isOpen()
                                && !placed.allocation().stopping()
                        ? TerminationCause.ASSEMBLY_TIMEOUT
                        : TerminationCause.GONE;
            default -> TerminationCause.GONE;
        };
    }

    private static String why(TaskStatus task) {
        return task.cause().map(ExitCause::wire).orElse("ended") + (task.saved() ? ", saved" : "");
    }
}
