package org.dunespindle.job;

import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.Membership;
import org.dunespindle.scheduling.Eviction;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.worker.PendingPreemptions;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops the tasks that a plan preempts or moves, if they run on machines that this controller owns. */
public final class TaskPreemptor {
    private static final Logger LOG = LoggerFactory.getLogger(TaskPreemptor.class);
    private final StateReplica replica;
    private final Membership membership;
    private final EventRecorder eventRecorder;
    private final PendingPreemptions pendingPreemptions;
    private final WorkerClient workerClient;

    /** Creates the preemptor of one controller. */
    public TaskPreemptor(ControllerContext context, PendingPreemptions pendingPreemptions, WorkerClient workerClient) {
        this.replica = context.replica();
        this.membership = context.membership();
        this.eventRecorder = context.eventRecorder();
        this.pendingPreemptions = pendingPreemptions;
        this.workerClient = workerClient;
    }

    /** Stops service replicas that the plan moves, each of which has capacity on another machine. */
    public void moveReplicas(Plan plan) {
        plan.moves().forEach(eviction -> stop(eviction, "moves to another machine"));
    }

    /**
     * Stops preempted tasks on machines that this controller owns. Tasks on other machines are stopped only once it owns those too, because any
     * other owner would immediately place other tasks on the freed capacity.
     */
    public void preempt(Plan plan) {
        plan.evictions().forEach(eviction -> stop(eviction, "gives way to " + eviction.forJob()));
    }

    private void stop(Eviction eviction, String reason) {
        String machineId = eviction.allocation().machineId();
        MachineRecord machine = replica.machines().get(machineId);
        if (machine == null
                || !membership.owns(machine)
                || eviction.allocation().stopping()) {
            return;
        }
        pendingPreemptions.add(PendingPreemptions.attemptOf(eviction.victim(), eviction.allocation()), machineId);
        workerClient.scheduleReconciliation(machineId);
        eventRecorder.record(
                LOG,
                "task {}/{} on {} {}",
                eviction.victim().id(),
                eviction.allocation().task(),
                machineId,
                reason);
    }
}
