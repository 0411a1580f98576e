package org.dunespindle.worker;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;

/** Machines' allocations, with the preemptions and cancellations applied that this controller knows and the replica's records lack. */
final class EffectiveAllocations {
    private final StateReplica replica;
    private final PendingPreemptions pendingPreemptions;
    private final CancellationTracker cancellationTracker;

    EffectiveAllocations(
            StateReplica replica, PendingPreemptions pendingPreemptions, CancellationTracker cancellationTracker) {
        this.replica = replica;
        this.pendingPreemptions = pendingPreemptions;
        this.cancellationTracker = cancellationTracker;
    }

    /** The allocations on a machine. */
    List<PlacedTask> on(String machineId) {
        return pendingPreemptions.withPreemptions(
                machineId, cancellationTracker.withCancellations(replica.allocationsOn(machineId)));
    }

    /**
     * Commands that halt the reported tasks of cancelled jobs. They are safe under any fencing token and whatever other call is in
     * flight.
     */
    List<WorkerCommand> haltsOfCancelledTasks(WorkerHeartbeat heartbeat) {
        return heartbeat.tasks().stream()
                .filter(task -> !task.exited() && isCancelled(task))
                .<WorkerCommand>map(task -> new WorkerCommand.Halt(task.task(), task.attempt(), Duration.ZERO))
                .toList();
    }

    /** A reported task of a job that is not in memory: the job may have been cancelled, which is known by the next heartbeat. */
    private boolean isCancelled(TaskStatus task) {
        String jobId = task.task().job();
        Optional<JobRecord> job = replica.retainedJob(jobId);
        if (job.isEmpty()) {
            replica.prefetchJob(jobId);
        }
        return job.filter(cancellationTracker::isCancelled).isPresent();
    }
}
