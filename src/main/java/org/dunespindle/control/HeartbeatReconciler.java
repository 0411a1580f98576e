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
    public static ReconciliationResult reconcile(List<PlacedTask> allocations, WorkerHeartbeat report) {
        var commands = new ArrayList<WorkerCommand>();
        var events = new ArrayList<TaskTermination>();
        var byTask = new HashMap<TaskId, List<TaskStatus>>();
        report.tasks()
                .forEach(t -> byTask.computeIfAbsent(t.task(), k -> new ArrayList<>(2))
                        .add(t));
        Set<TaskId> allocated = new HashSet<>();
        for (PlacedTask p : allocations) {
            TaskId id = new TaskId(p.job().id(), p.allocation().task());
            allocated.add(id);
            judgeClaim(p, id, byTask.getOrDefault(id, List.of()), commands, events);
        }
        for (Map.Entry<TaskId, List<TaskStatus>> e : byTask.entrySet()) {
            if (!allocated.contains(e.getKey())) {
                e.getValue()
                        .forEach(t -> commands.add(
                                t.exited()
                                        ? new WorkerCommand.Forget(t.task(), t.attempt())
                                        : new WorkerCommand.Halt(t.task(), t.attempt(), Duration.ZERO)));
            }
        }
        return new ReconciliationResult(commands, events);
    }

    private static void judgeClaim(
            PlacedTask p,
            TaskId id,
            List<TaskStatus> present,
            List<WorkerCommand> commands,
            List<TaskTermination> events) {
        JobRecord job = p.job();
        long wanted = job.expectedAttempt(p.allocation());
        boolean stop = !job.isOpen() || p.allocation().stopping() || job.gangPhase() == JobRecord.GangPhase.STOPPING;
        boolean othersLive = false;
        TaskStatus own = null;
        for (TaskStatus t : present) {
            if (t.attempt() == wanted) {
                own = t;
            } else if (t.exited()) {
                commands.add(new WorkerCommand.Forget(id, t.attempt()));
            } else {
                othersLive = true;
                // Another attempt: a placeholder to be replaced, or a leftover. Its release is confirmed by the next
                // report.
                commands.add(new WorkerCommand.Halt(id, t.attempt(), Duration.ZERO));
            }
        }
        if (own != null && own.exited()) {
            if (!othersLive) {
                events.add(
                        new TaskTermination(job.id(), id.index(), p.allocation().attemptBase(), fate(own, job, p), why(own)));
            }
        } else if (own != null) {
            if (stop && own.phase() != TaskPhase.SAVING) {
                commands.add(new WorkerCommand.Halt(id, wanted, grace(job)));
            } else if (stop && !job.isOpen()) {
                commands.add(new WorkerCommand.Halt(id, wanted, Duration.ZERO));
            }
        } else if (!othersLive) {
            if (stop) {
                events.add(new TaskTermination(
                        job.id(), id.index(), p.allocation().attemptBase(), TerminationCause.GONE, "released"));
            } else {
                commands.add(new WorkerCommand.Run(id, wanted));
            }
        }
    }

    /** A cancelled job's progress is of no use to anybody; others may save. */
    private static Duration grace(JobRecord job) {
        return job.isOpen() && job.submission().checkpoints() ? job.submission().checkpointTime().plus(EXTRA_GRACE) : Duration.ZERO;
    }

    private static TerminationCause fate(TaskStatus t, JobRecord job, PlacedTask p) {
        return switch (t.cause().orElse(ExitCause.STOPPED)) {
            case DONE -> TerminationCause.DONE;
            case ERROR -> TerminationCause.ERROR;
            case NO_ROOM, BUSY, UNKNOWN -> TerminationCause.REJECTED;
            case INCOMPLETE ->
                job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS
                                && job.isOpen()
                                && !p.allocation().stopping()
                        ? TerminationCause.ASSEMBLY_TIMEOUT
                        : TerminationCause.GONE;
            default -> TerminationCause.GONE;
        };
    }

    private static String why(TaskStatus t) {
        return t.cause().map(ExitCause::wire).orElse("ended") + (t.saved() ? ", saved" : "");
    }
}
