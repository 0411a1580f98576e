package org.dunespindle.worker;

import java.util.List;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.WorkerState;
import org.dunespindle.storage.MachineRecord;

/**
 * Fences {@code run} commands that went unanswered. Such a command may still take effect until the worker has seen a higher fencing
 * token.
 */
final class StartFencing {
    private final MachineRecordWriter machineWriter;
    private final WorkerCommandSender commandSender;
    private final ReconciliationQueue reconciliationQueue;

    StartFencing(
            MachineRecordWriter machineWriter,
            WorkerCommandSender commandSender,
            ReconciliationQueue reconciliationQueue) {
        this.machineWriter = machineWriter;
        this.commandSender = commandSender;
        this.reconciliationQueue = reconciliationQueue;
    }

    /**
     * Returns whether no start is unanswered under a machine's current token. If one is, takes the next step towards that state: it
     * calls the worker until it gives a sign of life, then raises the token. A machine without signs of life needs no new token: it
     * is terminated.
     */
    boolean ensureFenced(MachineRecord machine, WorkerState worker) {
        if (worker.unansweredStartToken().isEmpty()) {
            return true;
        }
        if (machine.token() > worker.unansweredStartToken().get()) {
            worker.startFenced();
            return true;
        }
        if (!worker.seenAliveSinceUnansweredStart()) {
            commandSender.send(machine, worker, List.of());
        } else if (!machineWriter.hasPendingChange(machine.id())) {
            machineWriter.write(
                    CommitPriority.PLACEMENT, machine.withNextToken(), result -> reconciliationQueue.add(machine.id()));
        }
        return false;
    }
}
