package org.dunespindle.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.ProposedTerminations;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.transport.HttpClient;

/** The worker operations that other packages use: reconciliation, reachability and ownership of the workers' machines. */
public final class WorkerClient {
    private final StateReplica replica;
    private final WorkerRegistry workers;
    private final ReconciliationQueue reconciliationQueue;
    private final WorkerReachability reachability;
    private final EffectiveAllocations allocations;
    private final WorkerStatusRecorder statusRecorder;
    private final WorkerInspector inspector;
    private final WorkerCommandSender commandSender;
    private final StatusReconciliation statusReconciliation;
    private final TerminationTracker terminationTracker;
    private final MachineReconciler reconciler;
    private final MachineAcquisition acquisition;

    /**
     * Creates a client for the workers.
     *
     * @param wakeEventLoop schedules the next reconciliation pass soon
     */
    public WorkerClient(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            HttpClient httpClient,
            PendingPreemptions pendingPreemptions,
            CancellationTracker cancellationTracker,
            ProposedTerminations proposedTerminations,
            Runnable wakeEventLoop) {
        var callLimiter = new ConcurrentCallLimiter(context.settings().sockets());
        this.replica = context.replica();
        this.workers = context.workers();
        this.reconciliationQueue = new ReconciliationQueue(wakeEventLoop);
        this.reachability = new WorkerReachability(context);
        this.allocations = new EffectiveAllocations(replica, pendingPreemptions, cancellationTracker);
        this.statusRecorder = new WorkerStatusRecorder(context, reconciliationQueue);
        this.inspector = new WorkerInspector(
                context.workers(), httpClient, callLimiter, reconciliationQueue, statusRecorder, context.timeSource());
        this.commandSender = new WorkerCommandSender(
                context, httpClient, callLimiter, reconciliationQueue, reachability, statusRecorder, allocations);
        this.statusReconciliation =
                new StatusReconciliation(allocations, new ForgetFilter(machineWriter), proposedTerminations);
        this.terminationTracker = new TerminationTracker(context.timeSource(), reconciliationQueue);
        this.reconciler = new MachineReconciler(
                context,
                machineWriter,
                reconciliationQueue,
                reachability,
                statusReconciliation,
                commandSender,
                terminationTracker);
        this.acquisition = new MachineAcquisition(context, machineWriter);
    }

    /** A version that increases whenever the capacity of this controller's machines, or the state of their tasks, may have changed. */
    public long version() {
        return reconciliationQueue.version();
    }

    /** The number of direct commands sent so far. */
    public long callCount() {
        return commandSender.callCount();
    }

    /** The machines with task terminations that are not stored yet. */
    public Set<String> machinesWithTerminations() {
        return terminationTracker.machinesWithTerminations();
    }

    /** The machines whose last status carries a spot interruption notice: their cloud is about to reclaim them. */
    public Set<String> machinesWithInterruptionNotice() {
        return statusRecorder.machinesWithInterruptionNotice();
    }

    /** Queues a machine for the next reconciliation pass. */
    public void scheduleReconciliation(String machineId) {
        reconciliationQueue.add(machineId);
    }

    /** Queues the machines of jobs that other controllers reported as cancelled. */
    public void reconcileCancelledJobs(List<String> jobIds) {
        for (String jobId : jobIds) {
            replica.activeJob(jobId)
                    .ifPresent(job ->
                            job.allocations().forEach(allocation -> reconciliationQueue.add(allocation.machineId())));
        }
        if (!jobIds.isEmpty()) {
            reconciliationQueue.wake();
        }
    }

    /** Runs one reconciliation pass over the machines whose status, record or allocations changed. */
    public void reconcilePending() {
        reconciler.reconcilePending();
    }

    /** Makes this controller a machine's owner by raising the machine's fencing token. */
    public void acquire(MachineRecord machine, Instant keepUntil, Consumer<TransactionResult> onResult) {
        acquire(machine, reachability.address(machine), keepUntil, onResult);
    }

    /** Makes this controller a machine's owner, with a worker address that another controller reported. */
    public void acquire(
            MachineRecord machine, String address, Instant keepUntil, Consumer<TransactionResult> onResult) {
        acquisition.acquire(machine, address, keepUntil, onResult);
    }

    /** Whether this controller may send commands to a machine and act on its status now. */
    public boolean canCommand(MachineRecord machine) {
        return reachability.canCommand(machine);
    }

    /** Whether a machine accepts tasks: its last status carries the current fencing token, and commands reach it. */
    public boolean isReady(MachineRecord machine) {
        return reachability.isReady(machine);
    }

    /** How long commands to a machine have gone unanswered; empty while they are answered. */
    public Optional<Duration> commandsBlockedFor(String machineId) {
        return reachability.commandsBlockedFor(machineId);
    }

    /** When the earlier of the last two inspections of a machine started, if both went unanswered; empty otherwise. */
    Optional<Duration> unansweredTwiceSince(String machineId) {
        return workers.find(machineId).flatMap(WorkerState::unansweredTwiceSince);
    }

    /** Whether a worker's heartbeats no longer arrive, although it may still answer inspections. */
    public boolean areHeartbeatsOverdue(WorkerState worker) {
        return reachability.areHeartbeatsOverdue(worker);
    }

    ReconciliationQueue reconciliationQueue() {
        return reconciliationQueue;
    }

    WorkerReachability reachability() {
        return reachability;
    }

    EffectiveAllocations allocations() {
        return allocations;
    }

    WorkerStatusRecorder statusRecorder() {
        return statusRecorder;
    }

    WorkerInspector inspector() {
        return inspector;
    }

    StatusReconciliation statusReconciliation() {
        return statusReconciliation;
    }
}
