package org.dunespindle.job;

import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains machines with a spot interruption notice: tasks that write checkpoints are stopped before the machine is lost, gangs as a whole. Each
 * controller drains the machines that it commands.
 */
public final class InterruptionNoticeDrainer {
    private static final Logger LOG = LoggerFactory.getLogger(InterruptionNoticeDrainer.class);
    private final StateReplica replica;
    private final JobRecordWriter jobWriter;
    private final EventRecorder eventRecorder;
    private final CommitQueue commitQueue;
    private final WorkerClient workerClient;

    /** Creates the drainer of one controller. */
    public InterruptionNoticeDrainer(ControllerContext context, CommitQueue commitQueue, WorkerClient workerClient) {
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.eventRecorder = context.eventRecorder();
        this.commitQueue = commitQueue;
        this.workerClient = workerClient;
    }

    /** Stops tasks on machines with an interruption notice, if stopping them loses no work. */
    public void drain() {
        for (String machineId : workerClient.machinesWithInterruptionNotice()) {
            MachineRecord machine = replica.machines().get(machineId);
            if (machine != null && workerClient.canCommand(machine)) {
                drain(machine);
            }
        }
    }

    private void drain(MachineRecord machine) {
        for (PlacedTask placed : replica.allocationsOn(machine.id())) {
            if (mayStop(placed)) {
                stop(placed, machine);
            }
        }
    }

    private boolean mayStop(PlacedTask placed) {
        JobRecord job = placed.job();
        boolean stopping = placed.allocation().stopping() || job.gangPhase() == JobRecord.GangPhase.STOPPING;
        return !commitQueue.isLocked(Keys.job(job.id())) && job.isOpen() && !stopping && losesNothing(job);
    }

    private static boolean losesNothing(JobRecord job) {
        return job.submission().checkpoints() || job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
    }

    private void stop(PlacedTask placed, MachineRecord machine) {
        JobRecord job = placed.job();
        boolean gang = job.submission().isGang();
        eventRecorder.record(
                LOG,
                "machine {} has a spot interruption notice; stopping {}",
                machine.id(),
                gang
                        ? "gang " + job.id()
                        : "task " + job.id() + "/" + placed.allocation().task());
        String machinePage = Keys.machinePage(machine.id());
        var transaction = new Transaction().requireRevision(machinePage, replica.modRevision(machinePage));
        JobRecord stopped = gang ? job.withGangStopping() : withTasksStopping(job, machine.id());
        commitQueue.propose(CommitPriority.PLACEMENT, jobWriter.write(transaction, stopped), result -> {});
    }

    private static JobRecord withTasksStopping(JobRecord job, String machineId) {
        JobRecord changed = job;
        for (Allocation allocation : job.allocations()) {
            if (allocation.machineId().equals(machineId)) {
                changed = changed.withTaskStopping(allocation.task());
            }
        }
        return changed;
    }
}
