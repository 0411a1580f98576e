package org.dunespindle.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.ProposedTerminations;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.machine.CrashLoopDetector;
import org.dunespindle.scheduling.TaskAttempt;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores task terminations in the records of their jobs, in batches. Each write has the machines' pages as preconditions, so it fails if
 * the ownership of a machine has changed since the terminations were reported.
 */
public final class TerminationWriter {
    private static final Logger LOG = LoggerFactory.getLogger(TerminationWriter.class);
    /** From this number of queued transactions, terminations wait for the job's next placement instead of locking its record. */
    private static final int MAX_QUEUED_TRANSACTIONS = 6;
    /** Number of preconditions in a transaction for records other than machines. */
    private static final int OTHER_PRECONDITIONS = 6;

    private static final String UNKNOWN_MACHINE = "?";
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final WorkerClient workerClient;
    private final ProposedTerminations proposedTerminations;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final EventRecorder eventRecorder;
    private final CrashLoopDetector crashLoopDetector;
    private final JobRecordWriter jobWriter;
    private final TerminationBatching batching;
    private final int maxMachinesPerTransaction;
    private List<TaskTermination> onLostMachines = List.of();
    private Map<String, List<PendingTermination>> pendingByJob = Map.of();

    /** Creates the writer of one controller. */
    public TerminationWriter(
            ControllerContext context,
            CommitQueue commitQueue,
            WorkerClient workerClient,
            ProposedTerminations proposedTerminations,
            CrashLoopDetector crashLoopDetector) {
        this.jobWriter = context.jobWriter();
        this.replica = context.replica();
        this.workers = context.workers();
        this.timeSource = context.timeSource();
        this.eventRecorder = context.eventRecorder();
        this.crashLoopDetector = crashLoopDetector;
        this.commitQueue = commitQueue;
        this.workerClient = workerClient;
        this.proposedTerminations = proposedTerminations;
        this.batching = new TerminationBatching(context);
        int maxPreconditions =
                Transaction.maxPreconditions(context.settings().state().lowest().txnOps());
        this.maxMachinesPerTransaction = Math.max(1, maxPreconditions / 2 - OTHER_PRECONDITIONS);
    }

    /** Task attempts whose termination is reported but not stored; their capacity is already free. */
    public Set<TaskAttempt> unstoredTerminations() {
        var attempts = new HashSet<TaskAttempt>();
        for (String machineId : workerClient.machinesWithTerminations()) {
            for (TaskTermination termination : workers.getOrCreate(machineId).terminations()) {
                // A placeholder that timed out is replaced on the same machine, so its capacity is not free.
                if (termination.cause() != TerminationCause.ASSEMBLY_TIMEOUT) {
                    attempts.add(new TaskAttempt(termination.job(), termination.task(), termination.attemptBase()));
                }
            }
        }
        return attempts;
    }

    /** Proposes all terminations that are due, both those reported by workers and the given ones of tasks on lost machines. */
    public void storePending(List<TaskTermination> terminationsOnLostMachines) {
        batching.checkQuotas();
        onLostMachines = terminationsOnLostMachines;
        collectPending();
        pendingByJob.forEach((id, pending) -> replica.activeJob(id)
                .filter(job -> !commitQueue.isLocked(Keys.job(id)) && batching.isDue(job, pending))
                .ifPresent(this::storePending));
    }

    /** Collects the pending terminations again: those of the last call may be obsolete once any machine has been reconciled. */
    void collectPending() {
        pendingByJob = pendingByJob();
    }

    private Map<String, List<PendingTermination>> pendingByJob() {
        var byJob = new LinkedHashMap<String, List<PendingTermination>>();
        for (String machineId : workerClient.machinesWithTerminations()) {
            WorkerState worker = workers.getOrCreate(machineId);
            worker.terminations().forEach(termination -> addPending(byJob, termination, worker.terminationsSince()));
        }
        onLostMachines.forEach(termination -> addPending(byJob, termination, Duration.ZERO));
        return byJob;
    }

    private static void addPending(
            Map<String, List<PendingTermination>> byJob, TaskTermination termination, Duration since) {
        byJob.computeIfAbsent(termination.job(), job -> new ArrayList<>())
                .add(new PendingTermination(termination, since));
    }

    @SuppressWarnings("ReferenceEquality") // the same record is returned if nothing was applied
    private void storePending(JobRecord job) {
        var transaction = new Transaction();
        var applied = new ArrayList<TaskTermination>();
        JobRecord after = applyPending(job, transaction, applied);
        if (after == job) {
            return;
        }
        boolean urgent = !after.isOpen() || after.submission().requiresAllTasks();
        if (!urgent && commitQueue.pendingCount() >= MAX_QUEUED_TRANSACTIONS) {
            return; // it would lock the record for a long time; the job's next placement also stores the terminations
        }
        propose(
                urgent ? CommitPriority.PLACEMENT : CommitPriority.MAINTENANCE,
                jobWriter.write(transaction, after),
                job,
                applied,
                result -> {});
    }

    /**
     * Proposes a transaction that stores terminations. The tasks are not started on their machines until its outcome is certain.
     *
     * @param job the job's record before the terminations are applied
     * @param applied the terminations that the transaction stores
     * @param onResult receives the outcome
     */
    void propose(
            CommitPriority priority,
            Transaction transaction,
            JobRecord job,
            List<TaskTermination> applied,
            Consumer<TransactionResult> onResult) {
        proposedTerminations.add(applied);
        commitQueue.propose(priority, transaction, result -> {
            proposedTerminations.settle(applied, result);
            onResult.accept(result);
            if (result instanceof TransactionResult.Applied) {
                applied.forEach(termination -> recordTermination(job, termination));
            } else {
                applied.forEach(termination -> reconcileMachine(job, termination)); // its start may be possible now
            }
        });
    }

    private void reconcileMachine(JobRecord job, TaskTermination termination) {
        job.allocation(termination.task())
                .ifPresent(allocation -> workerClient.scheduleReconciliation(allocation.machineId()));
    }

    /**
     * Applies a job's pending terminations to its record, which the caller is about to write, and adds the preconditions to the transaction.
     * The number of machines is limited to what half of a transaction's preconditions allow; the other terminations follow once these are stored.
     *
     * @param applied receives the terminations that were applied
     */
    JobRecord applyPending(JobRecord job, Transaction transaction, List<TaskTermination> applied) {
        var machinePages = new HashSet<String>();
        for (PendingTermination pending : pendingByJob.getOrDefault(job.id(), List.of())) {
            TaskTermination termination = pending.termination();
            Optional<Allocation> allocation = job.allocation(termination.task())
                    .filter(allocated -> allocated.attemptBase() == termination.attemptBase());
            if (allocation.isEmpty()) {
                continue; // the task has been placed again or released
            }
            String machinePage = Keys.machinePage(allocation.get().machineId());
            if (machinePages.contains(machinePage) || machinePages.size() < maxMachinesPerTransaction) {
                machinePages.add(machinePage);
                transaction.requireRevision(machinePage, replica.modRevision(machinePage));
                applied.add(termination);
            }
        }
        return JobTransitions.apply(job, applied, timeSource.wallTime());
    }

    /**
     * Records a stored termination as an event and reports it to the crash loop detector.
     *
     * @param job the job record before the termination was applied
     */
    private void recordTermination(JobRecord job, TaskTermination termination) {
        String machineId =
                job.allocation(termination.task()).map(Allocation::machineId).orElse(UNKNOWN_MACHINE);
        if (termination.cause() == TerminationCause.ERROR) {
            recordFailure(job, termination, machineId);
        } else if (termination.cause() == TerminationCause.DONE) {
            crashLoopDetector.recordSuccess(job.id(), machineId);
        } else if (job.isOpen()) {
            eventRecorder.record(
                    LOG,
                    "task {}/{} left machine {}: {}",
                    job.id(),
                    termination.task(),
                    machineId,
                    termination.detail());
        }
    }

    private void recordFailure(JobRecord job, TaskTermination termination, String machineId) {
        eventRecorder.record(
                LOG,
                "task {}/{} failed on machine {}; it will be started again on another machine or later",
                job.id(),
                termination.task(),
                machineId);
        boolean wasCrashLooping = crashLoopDetector.isCrashLooping(job.id());
        crashLoopDetector.recordFailure(job.id(), machineId);
        if (!wasCrashLooping && crashLoopDetector.isCrashLooping(job.id())) {
            eventRecorder.record(
                    LOG,
                    "job {} fails on every machine: on {} so far; it is taken for faulty and retried with increasing back-off until it is cancelled",
                    job.id(),
                    crashLoopDetector.machinesWithFailuresOf(job.id()));
        }
    }
}
