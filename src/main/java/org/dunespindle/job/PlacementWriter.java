package org.dunespindle.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.Binding;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.ProjectedJob;
import org.dunespindle.scheduling.ProjectedJobs;
import org.dunespindle.scheduling.TeamUsage;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.PendingPreemptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Executes the bindings of a plan for this controller's own machines, by writing the allocations to the state store. */
public final class PlacementWriter {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementWriter.class);
    /** Number of preconditions in a transaction for records other than machines: job, team and leader. */
    private static final int OTHER_PRECONDITIONS = 3;
    /** At this number of queued transactions no more placements are proposed, so that later ones contain more tasks each. */
    private static final int MAX_QUEUED_TRANSACTIONS = 8;
    /** The same limit for gangs. */
    private static final int MAX_QUEUED_TRANSACTIONS_FOR_GANGS = 24;

    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final MachineRecordWriter machineWriter;
    private final TerminationWriter terminationWriter;
    private final TimeSource timeSource;
    private final Predicate<MachineRecord> acceptsTasks;
    private final PendingPreemptions pendingPreemptions;
    private final JobRecordWriter jobWriter;
    private final RecordSizeLimit recordSizeLimit;
    private final TeamQuotas teamQuotas;
    /** By job id: records that are proposed but not stored yet. Without them, a plan would place other jobs on the same capacity. */
    private final Map<String, JobRecord> proposedRecords = new HashMap<>();

    /** Creates the writer of one controller; tasks are placed only on machines that the predicate accepts. */
    public PlacementWriter(
            ControllerContext context,
            CommitQueue commitQueue,
            MachineRecordWriter machineWriter,
            TerminationWriter terminationWriter,
            PendingPreemptions pendingPreemptions,
            Predicate<MachineRecord> acceptsTasks) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.recordSizeLimit = new RecordSizeLimit(jobWriter);
        this.membership = context.membership();
        this.timeSource = context.timeSource();
        this.commitQueue = commitQueue;
        this.machineWriter = machineWriter;
        this.terminationWriter = terminationWriter;
        this.pendingPreemptions = pendingPreemptions;
        this.teamQuotas = new TeamQuotas(context, commitQueue);
        this.acceptsTasks = acceptsTasks;
    }

    /** This controller's accounting of the teams' quotas. */
    public TeamQuotas teamQuotas() {
        return teamQuotas;
    }

    /** The active jobs as stored, and as they will be if this controller's proposals are stored. */
    public ProjectedJobs projection() {
        var jobs = new ArrayList<ProjectedJob>();
        replica.activeJobs().forEach(stored -> jobs.add(projected(stored)));
        return new ProjectedJobs(jobs);
    }

    private ProjectedJob projected(JobRecord stored) {
        return new ProjectedJob(
                stored, pendingPreemptions.withPreemptions(proposedRecords.getOrDefault(stored.id(), stored)));
    }

    /**
     * Proposes the plan's bindings, one transaction each, with the job, its machines and its team's reservation as preconditions.
     *
     * @param projection the jobs from which the plan was made
     */
    public void place(Plan plan, ProjectedJobs projection) {
        if (plan.bindings().isEmpty()) {
            return;
        }
        terminationWriter.collectPending();
        // Counts both stored and proposed allocations. After this controller proposed a placement, others may have
        // stored more tasks of the job and a new reservation of its team, so the proposed record must not replace the
        // stored one here.
        TeamUsage usage = projection.usage();
        for (Binding binding : plan.bindings()) {
            Submission submission = binding.job().submission();
            // Tasks that would only be queued are planned again later, more at once: batches grow with the load.
            if (commitQueue.pendingCount() >= maxQueuedTransactions(submission)) {
                return;
            }
            if (isLocked(binding.job())) {
                continue;
            }
            Map<Integer, String> places = ownPlaces(binding);
            if (!places.isEmpty()) {
                place(binding.job(), places, usage);
            }
        }
    }

    private static int maxQueuedTransactions(Submission submission) {
        return submission.isGang() ? MAX_QUEUED_TRANSACTIONS_FOR_GANGS : MAX_QUEUED_TRANSACTIONS;
    }

    private boolean isLocked(JobRecord job) {
        return commitQueue.isLocked(Keys.job(job.id()))
                || commitQueue.isLocked(Keys.team(job.submission().team()));
    }

    /** The places on machines that this controller commands, up to the number of machines that one transaction allows. */
    private Map<Integer, String> ownPlaces(Binding binding) {
        var places = new LinkedHashMap<Integer, String>();
        if (binding.job().submission().isGang() && !membership.isLeader()) {
            return places;
        }
        int maxPreconditions =
                Transaction.maxPreconditions(settings.state().lowest().txnOps());
        int maxMachinePages = maxPreconditions / 2 - OTHER_PRECONDITIONS;
        var machinePages = new HashSet<String>();
        binding.machineByTask().forEach((task, machineId) -> {
            String machinePage = Keys.machinePage(machineId);
            if (isCommanded(machineId)
                    && (machinePages.contains(machinePage) || machinePages.size() < maxMachinePages)) {
                machinePages.add(machinePage);
                places.put(task, machineId);
            }
        });
        return places;
    }

    private boolean isCommanded(String machineId) {
        MachineRecord machine = replica.machines().get(machineId);
        return machine != null
                && membership.owns(machine)
                && !machineWriter.hasPendingChange(machineId)
                && acceptsTasks.test(machine);
    }

    private void place(JobRecord job, Map<Integer, String> planned, TeamUsage usage) {
        var transaction = new Transaction();
        List<TaskTermination> applied = new ArrayList<>();
        JobRecord withoutTerminated = terminationWriter.applyPending(job, transaction, applied);
        Map<Integer, String> places = recordSizeLimit.limit(withoutTerminated, planned);
        if (places.isEmpty()) {
            return; // the record has no space until some tasks of the job end
        }
        Resources request = job.submission().perTask().times(places.size());
        Optional<TeamQuotas.Admission> admission = teamQuotas.requestAdmission(transaction, job, usage, request);
        if (admission.isEmpty()) {
            return;
        }
        JobRecord placed = withPlacement(withoutTerminated, places);
        writePlacement(transaction, placed, places);
        if (!transaction.fits(settings.state().lowest().txnOps())) {
            return;
        }
        usage.add(job.submission(), places.size());
        admission.get().onProposed();
        logPlacement(job, places.size());
        proposedRecords.put(placed.id(), placed);
        terminationWriter.propose(CommitPriority.PLACEMENT, transaction, job, applied, result -> {
            proposedRecords.remove(placed.id());
            admission.get().onResult(result);
        });
    }

    private static JobRecord withPlacement(JobRecord job, Map<Integer, String> places) {
        JobRecord placed = job.withPlaced(places);
        Submission submission = job.submission();
        // A gang with a single task runs it directly: its placeholder would be the whole gang and start at once.
        return submission.isGang() && submission.tasks() == 1 ? placed.withGangRunning() : placed;
    }

    private void writePlacement(Transaction transaction, JobRecord placed, Map<Integer, String> places) {
        jobWriter.write(transaction, placed);
        places.values().forEach(machineId -> requireCurrent(transaction, Keys.machinePage(machineId)));
        if (placed.submission().isGang()) {
            requireCurrent(transaction, Keys.LEADER);
        }
    }

    private void requireCurrent(Transaction transaction, String key) {
        transaction.requireRevision(key, replica.modRevision(key));
    }

    private void logPlacement(JobRecord job, int tasks) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "tasks placed job={} class={} tasks={} sinceArrivalMs={}",
                    job.id(),
                    job.submission().jobClass(),
                    tasks,
                    Duration.between(job.arrived(), timeSource.wallTime()).toMillis());
        }
    }
}
