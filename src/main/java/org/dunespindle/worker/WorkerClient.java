package org.dunespindle.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.WorkerState;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.transport.HttpClient;

/** What the other parts of a controller use of the workers: reconciliation, reachability and ownership of their machines. */
public final class WorkerClient {
    private final StateReplica replica;
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
     * @param wakeEventLoop has the next pass over the queued machines begin soon
     */
    public WorkerClient(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            HttpClient httpClient,
            PendingPreemptions pendingPreemptions,
            CancellationTracker cancellationTracker,
            Runnable wakeEventLoop) {
        var callLimiter = new ConcurrentCallLimiter(context.settings().sockets());
        this.replica = context.replica();
        this.reconciliationQueue = new ReconciliationQueue(wakeEventLoop);
        this.reachability = new WorkerReachability(context);
        this.allocations = new EffectiveAllocations(replica, pendingPreemptions, cancellationTracker);
        this.statusRecorder = new WorkerStatusRecorder(context, reconciliationQueue);
        this.inspector =
                new WorkerInspector(context.workers(), httpClient, callLimiter, reconciliationQueue, statusRecorder);
        this.commandSender = new WorkerCommandSender(
                context, httpClient, callLimiter, reconciliationQueue, reachability, statusRecorder, allocations);
        this.statusReconciliation = new StatusReconciliation(allocations, new ForgetFilter(machineWriter));
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

    /** Grows whenever the capacity of machines here, or the state of their tasks, may have changed. */
    public long version() {
        return reconciliationQueue.version();
    }

    /** The number of direct commands sent so far. */
    public long callCount() {
        return commandSender.callCount();
    }

    /** The machines with terminations that are not stored yet. */
    public Set<String> machinesWithTerminations() {
        return terminationTracker.machinesWithTerminations();
    }

    /** The machines that their cloud is about to reclaim, according to their last status. */
    public Set<String> machinesWithNotice() {
        return statusRecorder.machinesWithNotice();
    }

    /** Queues a machine for the next pass of reconciliation. */
    public void scheduleReconciliation(String machineId) {
        reconciliationQueue.add(machineId);
    }

    /** Queues the machines of jobs that other controllers say are cancelled. */
    public void reconcileCancelledJobs(List<String> jobIds) {
        for (String jobId : jobIds) {
            replica.job(jobId)
                    .ifPresent(job ->
                            job.allocations().forEach(allocation -> reconciliationQueue.add(allocation.machineId())));
        }
        if (!jobIds.isEmpty()) {
            reconciliationQueue.wake();
        }
    }

    /** One pass of reconciliation, over the machines about which something changed. */
    public void reconcilePending() {
        reconciler.reconcilePending();
    }

    /** Becomes a machine's owner by raising its fencing token. */
    public void acquire(MachineRecord machine, Instant keepUntil, Consumer<TransactionResult> onResult) {
        acquire(machine, reachability.address(machine), keepUntil, onResult);
    }

    /** Becomes the owner of a machine whose worker's address another controller knows. */
    public void acquire(
            MachineRecord machine, String address, Instant keepUntil, Consumer<TransactionResult> onResult) {
        acquisition.acquire(machine, address, keepUntil, onResult);
    }

    /** Whether this controller may command a machine and draw conclusions about it now. */
    public boolean inCommand(MachineRecord machine) {
        return reachability.inCommand(machine);
    }

    /** Whether a machine can take tasks: its last status came under the current fencing token, and commands reach it. */
    public boolean isReady(MachineRecord machine) {
        return reachability.isReady(machine);
    }

    /** How long a machine has sent heartbeats without taking commands; empty while it takes them. */
    public Optional<Duration> commandsBlockedFor(String machineId) {
        return reachability.commandsBlockedFor(machineId);
    }

    /** Whether a worker's heartbeats no longer arrive, though it may answer inspections. */
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
