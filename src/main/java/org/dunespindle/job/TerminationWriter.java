package org.dunespindle.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.Membership;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.machine.CrashLoopDetector;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.TaskAttempt;
import org.dunespindle.scheduling.TeamUsage;
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
 * Stores what became of allocations, guarded by the ownership under which it was seen. Tasks of a job that ended well are
 * gathered for a moment, since each write of a record costs the same however many of them it tells; what
 * ends a job, or sends tasks back to the queue, is stored at once.
 */
public final class TerminationWriter {
    private static final Logger LOG = LoggerFactory.getLogger(TerminationWriter.class);
    /** While more of the job is under way here: what has ended is stored with its next placement, at the latest after this. */
    private static final Duration GATHER = Duration.ofSeconds(15);
    /** Once nothing more of the job is under way here: others may hold its last task. */
    private static final Duration GATHER_LAST = Duration.ofMillis(400);
    /** While the team is close to its limit, which counts tasks until their end is stored. */
    private static final Duration GATHER_TIGHT = Duration.ofMillis(1500);

    private static final Duration LOOK_AT_TEAMS_EVERY = Duration.ofSeconds(1);
    private static final int MOST_WAITING = 6;
    private static final double TIGHT = 0.75;
    private static final int OTHER_GUARDS = 6;
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final WorkerClient workerClient;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final EventRecorder eventRecorder;
    private final CrashLoopDetector crashLoopDetector;
    private final Membership membership;
    private final Settings settings;
    private final JobRecordWriter jobWriter;
    private final int mostHosts;
    private final Set<String> tightTeams = new HashSet<>();
    private Duration lookAgainAt = Duration.ZERO;
    private Map<String, List<Seen>> byJob = Map.of();

    private record Seen(TaskTermination event, Duration since) {}

    public TerminationWriter(
            ControllerContext context,
            CommitQueue commitQueue,
            WorkerClient workerClient,
            CrashLoopDetector crashLoopDetector) {
        this.settings = context.settings();
        this.jobWriter = context.jobWriter();
        this.membership = context.membership();
        this.replica = context.replica();
        this.workers = context.workers();
        this.timeSource = context.timeSource();
        this.eventRecorder = context.eventRecorder();
        this.crashLoopDetector = crashLoopDetector;
        this.commitQueue = commitQueue;
        this.workerClient = workerClient;
        this.mostHosts = Math.max(
                1, Transaction.maxPreconditions(settings.state().lowest().txnOps()) / 2 - OTHER_GUARDS);
    }

    /** Claims whose end is reported but not stored: their room is free already. */
    public Set<TaskAttempt> ended() {
        var set = new HashSet<TaskAttempt>();
        for (String host : workerClient.machinesWithTerminations()) {
            // A placeholder that waited in vain is booked again where it was, so its room is not free.
            workers.getOrCreate(host).terminations().stream()
                    .filter(termination -> termination.cause() != TerminationCause.ASSEMBLY_TIMEOUT)
                    .forEach(termination ->
                            set.add(new TaskAttempt(termination.job(), termination.task(), termination.attemptBase())));
        }
        return set;
    }

    /** Proposes what is due, along with allocations on machines that are proven gone. */
    public void store(List<TaskTermination> gone) {
        lookAtTeams();
        byJob = new LinkedHashMap<>();
        for (String host : workerClient.machinesWithTerminations()) {
            WorkerState worker = workers.getOrCreate(host);
            worker.terminations()
                    .forEach(termination -> byJob.computeIfAbsent(termination.job(), k -> new ArrayList<>())
                            .add(new Seen(termination, worker.terminationsSince())));
        }
        gone.forEach(termination -> byJob.computeIfAbsent(termination.job(), k -> new ArrayList<>())
                .add(new Seen(termination, Duration.ZERO)));
        byJob.forEach((id, seen) -> replica.job(id)
                .filter(job -> !commitQueue.isLocked(Keys.job(id)) && due(job, seen))
                .ifPresent(this::store));
    }

    private void lookAtTeams() {
        if (timeSource.now().compareTo(lookAgainAt) < 0) {
            return;
        }
        lookAgainAt = timeSource.now().plus(LOOK_AT_TEAMS_EVERY);
        tightTeams.clear();
        TeamUsage.stored(replica).forEach((name, use) -> {
            Settings.Team team = settings.teams().get(name);
            if (team != null && (use.gpus() > TIGHT * team.gpusMax() || use.cpus() > TIGHT * team.cpusMax())) {
                tightTeams.add(name);
            }
        });
    }

    private boolean due(JobRecord job, List<Seen> seen) {
        if (job.spec().isEmpty()
                || !job.isOpen()
                || job.submission().runsAsWhole()
                || seen.stream()
                        .anyMatch(s -> s.event.cause() != TerminationCause.DONE
                                && timeSource.now().minus(s.since).compareTo(GATHER_LAST) >= 0)) {
            return true;
        }
        boolean last = false;
        if (job.unplacedCount() == 0) {
            if (job.allocations().size() <= seen.size()) {
                return true;
            }
            long here = job.allocations().stream()
                    .filter(allocation -> Optional.ofNullable(replica.machines().get(allocation.machineId()))
                            .filter(membership::owns)
                            .isPresent())
                    .count();
            last = here <= seen.size();
        }
        Duration patience =
                last ? GATHER_LAST : tightTeams.contains(job.submission().team()) ? GATHER_TIGHT : GATHER;
        return seen.stream().anyMatch(s -> timeSource.now().minus(s.since).compareTo(patience) >= 0);
    }

    private void store(JobRecord j) {
        var transaction = new Transaction();
        var terminations = new ArrayList<TaskTermination>();
        JobRecord after = fold(j, transaction, terminations);
        if (after == j) {
            return;
        }
        boolean hurry = !after.isOpen() || after.submission().runsAsWhole();
        if (!hurry && commitQueue.waiting() >= MOST_WAITING) {
            return; // it would lock the record for long; the job's next placement takes it along
        }
        commitQueue.propose(
                hurry ? CommitPriority.PLACEMENT : CommitPriority.MAINTENANCE,
                jobWriter.write(transaction, after),
                result -> {
                    if (result instanceof TransactionResult.Applied) {
                        terminations.forEach(termination -> tell(j, termination));
                    }
                });
    }

    /**
     * Takes what is known of a job's tasks into its record, which is written anyway. As many outcomes as half of a
     * transaction's guards allow; the others follow once it is stored.
     */
    JobRecord fold(JobRecord job, Transaction transaction, List<TaskTermination> taken) {
        var pages = new HashSet<String>();
        for (Seen s : byJob.getOrDefault(job.id(), List.of())) {
            Optional<Allocation> allocation =
                    job.allocation(s.event.task()).filter(c -> c.attemptBase() == s.event.attemptBase());
            if (allocation.isEmpty()) {
                continue; // booked again since
            }
            String page = Keys.machinePage(allocation.get().machineId());
            if (pages.contains(page) || pages.size() < mostHosts) {
                pages.add(page);
                transaction.requireRevision(page, replica.modRevision(page));
                taken.add(s.event);
            }
        }
        return JobTransitions.apply(job, taken, timeSource.wallTime());
    }

    void tell(JobRecord job, TaskTermination termination) {
        String host =
                job.allocation(termination.task()).map(Allocation::machineId).orElse("?");
        if (termination.cause() == TerminationCause.ERROR) {
            eventRecorder.record(
                    LOG,
                    "task {}/{} failed on machine {}; it is started again elsewhere or later",
                    job.id(),
                    termination.task(),
                    host);
            boolean known = crashLoopDetector.isCrashLooping(job.id());
            crashLoopDetector.failed(job.id(), host);
            if (!known && crashLoopDetector.isCrashLooping(job.id())) {
                eventRecorder.record(
                        LOG,
                        "job {} fails on every machine: on {} so far; it is taken for faulty and tried ever more seldom until its user cancels it",
                        job.id(),
                        crashLoopDetector.machinesOf(job.id()));
            }
        } else if (termination.cause() == TerminationCause.DONE) {
            crashLoopDetector.succeeded(job.id(), host);
        } else if (job.isOpen()) {
            eventRecorder.record(
                    LOG, "task {}/{} left machine {}: {}", job.id(), termination.task(), host, termination.detail());
        }
    }
}
