package org.dunespindle.worker;

import java.util.List;
import org.dunespindle.control.HeartbeatReconciler;
import org.dunespindle.control.ReconciliationResult;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;

/** Compares machines' effective allocations with their workers' status, and withholds commands that are not safe yet. */
final class StatusReconciliation {
    private final EffectiveAllocations allocations;
    private final ForgetFilter forgetFilter;

    StatusReconciliation(EffectiveAllocations allocations, ForgetFilter forgetFilter) {
        this.allocations = allocations;
        this.forgetFilter = forgetFilter;
    }

    /** The commands and terminations that follow from a conclusive status of a machine. */
    ReconciliationResult reconcile(MachineRecord machine, WorkerState worker, WorkerHeartbeat status) {
        ReconciliationResult result = HeartbeatReconciler.reconcile(allocations.on(machine.id()), status);
        List<WorkerCommand> safeCommands = forgetFilter.withoutUnsafeForgets(machine, worker, result.commands());
        return new ReconciliationResult(safeCommands, result.terminations());
    }
}
