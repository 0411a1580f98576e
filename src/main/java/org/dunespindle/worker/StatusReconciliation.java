package org.dunespindle.worker;

import java.util.List;
import java.util.Optional;
import org.dunespindle.control.HeartbeatReconciler;
import org.dunespindle.control.ProposedTerminations;
import org.dunespindle.control.ReconciliationResult;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares machines' effective allocations with their workers' status, and withholds commands that are not safe yet. */
final class StatusReconciliation {
    private static final Logger LOG = LoggerFactory.getLogger(StatusReconciliation.class);
    private final EffectiveAllocations allocations;
    private final ForgetFilter forgetFilter;
    private final ProposedTerminations proposedTerminations;

    StatusReconciliation(
            EffectiveAllocations allocations, ForgetFilter forgetFilter, ProposedTerminations proposedTerminations) {
        this.allocations = allocations;
        this.forgetFilter = forgetFilter;
        this.proposedTerminations = proposedTerminations;
    }

    /**
     * The commands and terminations that follow from a conclusive status of a machine. A task whose termination may still be stored is
     * not started: its termination is reported again until it is stored.
     */
    ReconciliationResult reconcile(MachineRecord machine, WorkerState worker, WorkerHeartbeat status) {
        ReconciliationResult result = HeartbeatReconciler.reconcile(allocations.on(machine.id()), status)
                .withTerminationsForStarts(task -> proposedTermination(machine, task));
        List<WorkerCommand> safeCommands = forgetFilter.withoutUnsafeForgets(machine, worker, result.commands());
        return new ReconciliationResult(safeCommands, result.terminations());
    }

    private Optional<TaskTermination> proposedTermination(MachineRecord machine, TaskId task) {
        Optional<TaskTermination> proposed = proposedTerminations.undecided(task);
        if (proposed.isPresent()) {
            LOG.debug(
                    "start withheld, the task's termination may still be stored machine={} task={}",
                    machine.id(),
                    task);
        }
        return proposed;
    }
}
