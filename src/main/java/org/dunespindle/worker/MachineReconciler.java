package org.dunespindle.worker;

import java.time.Duration;
import java.util.List;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.ReconciliationResult;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;

/** Reconciles this controller's machines with their workers' status: sends commands and records task terminations. */
final class MachineReconciler {
    /** With an older replica, tasks are halted but not started: the replica may lack a cancellation. */
    static final Duration MAX_REPLICA_STALENESS_FOR_START = Duration.ofSeconds(3);
    /** After this time without answers to commands, a machine's tasks that were never started are released. */
    private static final Duration MIN_BLOCKED_TIME_FOR_RELEASE = Duration.ofSeconds(5);

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final ReconciliationQueue reconciliationQueue;
    private final WorkerReachability reachability;
    private final StatusReconciliation statusReconciliation;
    private final WorkerCommandSender commandSender;
    private final StartFencing startFencing;
    private final TerminationTracker terminationTracker;

    MachineReconciler(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            ReconciliationQueue reconciliationQueue,
            WorkerReachability reachability,
            StatusReconciliation statusReconciliation,
            WorkerCommandSender commandSender,
            TerminationTracker terminationTracker) {
        this.context = context;
        this.machineWriter = machineWriter;
        this.reconciliationQueue = reconciliationQueue;
        this.reachability = reachability;
        this.statusReconciliation = statusReconciliation;
        this.commandSender = commandSender;
        this.terminationTracker = terminationTracker;
        this.startFencing = new StartFencing(machineWriter, commandSender, reconciliationQueue);
    }

    /** Reconciles the queued machines and those whose records or allocations changed. */
    void reconcilePending() {
        reconciliationQueue.addAll(context.replica().drainChangedMachines());
        reconciliationQueue.drain().forEach(this::reconcile);
    }

    private void reconcile(String machineId) {
        MachineRecord machine = context.replica().machines().get(machineId);
        if (machine == null || !context.membership().owns(machine)) {
            context.workers().find(machineId).ifPresent(worker -> terminationTracker.clear(machineId, worker));
        } else if (!reachability.canCommand(machine)) {
            reconciliationQueue.add(machineId); // until the replica has caught up
        } else {
            reconcileOwned(machine, context.workers().getOrCreate(machineId));
        }
    }

    private void reconcileOwned(MachineRecord machine, WorkerState worker) {
        if (worker.callInFlight()) {
            return; // the machine is queued again when the call ends
        }
        if (!startFencing.ensureFenced(machine, worker)) {
            return;
        }
        long seenToken = worker.lastReportedToken().orElse(machine.token());
        if (seenToken > machine.token()) {
            raiseTokenAbove(seenToken, machine);
        } else if (worker.isConclusiveUnder(machine.token())) {
            reconcileWithStatus(machine, worker, worker.lastHeartbeat().orElseThrow());
        } else {
            terminationTracker.clear(machine.id(), worker);
            commandSender.send(machine, worker, List.of());
        }
    }

    private void raiseTokenAbove(long seenToken, MachineRecord machine) {
        if (!machineWriter.hasPendingChange(machine.id())) {
            machineWriter.write(
                    CommitPriority.PLACEMENT,
                    machine.withNextToken().withTokenAbove(seenToken),
                    result -> reconciliationQueue.add(machine.id()));
        }
    }

    private void reconcileWithStatus(MachineRecord machine, WorkerState worker, WorkerHeartbeat status) {
        ReconciliationResult result = statusReconciliation.reconcile(machine, worker, status);
        recordImages(worker, status);
        List<WorkerCommand> commands = result.commands();
        terminationTracker.record(machine.id(), worker, terminations(machine, worker, result));
        if (commands.stream().anyMatch(MachineReconciler::isStart) && mustDelayStarts(worker)) {
            reconciliationQueue.add(machine.id());
            commands = commands.stream().filter(command -> !isStart(command)).toList();
        }
        if (worker.commandsUnconfirmedSince().isPresent()) {
            commandSender.send(machine, worker, List.of()); // no task is started until a command has been answered
        } else if (commands.stream().anyMatch(command -> !(command instanceof WorkerCommand.Forget))) {
            commandSender.send(machine, worker, commands);
        }
    }

    private void recordImages(WorkerState worker, WorkerHeartbeat status) {
        for (TaskStatus task : status.tasks()) {
            if (task.phase() == TaskPhase.RUNNING || task.phase() == TaskPhase.ASSEMBLING) {
                context.replica()
                        .activeJob(task.task().job())
                        .flatMap(job -> job.spec())
                        .ifPresent(spec -> worker.imageFetched(spec.image()));
            }
        }
    }

    private List<TaskTermination> terminations(MachineRecord machine, WorkerState worker, ReconciliationResult result) {
        boolean released = reachability.areHeartbeatsOverdue(worker)
                || reachability
                        .commandsBlockedFor(machine.id())
                        .filter(blocked -> blocked.compareTo(MIN_BLOCKED_TIME_FOR_RELEASE) > 0)
                        .isPresent();
        return released ? result.withoutStarts(context.replica().allocationsOn(machine.id())) : result.terminations();
    }

    private boolean mustDelayStarts(WorkerState worker) {
        return context.replica().staleness().compareTo(MAX_REPLICA_STALENESS_FOR_START) >= 0
                || worker.commandsUnconfirmedSince().isPresent()
                || reachability.areHeartbeatsOverdue(worker);
    }

    private static boolean isStart(WorkerCommand command) {
        return command instanceof WorkerCommand.Run;
    }
}
