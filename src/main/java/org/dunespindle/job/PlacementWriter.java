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
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.Binding;
import org.dunespindle.scheduling.Eviction;
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
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.PendingPreemptions;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out this controller's part of a plan: books tasks on its machines, and stops those that give way. */
public final class PlacementWriter {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementWriter.class);
    /** Stopping tasks splits groups of allocations, so a record is not filled to the brim by placing. */
    private static final double FILLED_BY_PLACING = 0.7;
    /** A run of tasks on a machine is short in the record, and at its longest when every other one has left and is to start again. */
    private static final int BROKEN_UP_PER_TASK = 6;

    private static final double FILLED_WHEN_BROKEN_UP = 0.9;
    private static final int OTHER_GUARDS = 3;
    private static final int MOST_WAITING = 8;
    private static final int MOST_WAITING_GANGS = 24;
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final MachineRecordWriter machineWriter;
    private final TerminationWriter terminationWriter;
    private final TimeSource timeSource;
    private final EventRecorder eventRecorder;
    private final Predicate<MachineRecord> takesTasks;
    private final PendingPreemptions pendingPreemptions;
    private final WorkerClient workerClient;
    private final JobRecordWriter jobWriter;
    private final TeamQuotas teamQuotas;
    /** Records proposed but not stored yet: their room is taken, or another job would be booked on it too. */
    private final Map<String, JobRecord> proposedRecords = new HashMap<>();

    public PlacementWriter(
            ControllerContext context,
            CommitQueue commitQueue,
            MachineRecordWriter machineWriter,
            TerminationWriter terminationWriter,
            PendingPreemptions pendingPreemptions,
            WorkerClient workerClient,
            Predicate<MachineRecord> takesTasks) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.membership = context.membership();
        this.timeSource = context.timeSource();
        this.eventRecorder = context.eventRecorder();
        this.commitQueue = commitQueue;
        this.machineWriter = machineWriter;
        this.terminationWriter = terminationWriter;
        this.pendingPreemptions = pendingPreemptions;
        this.workerClient = workerClient;
        this.teamQuotas = new TeamQuotas(context, commitQueue);
        this.takesTasks = takesTasks;
    }

    /** This controller's account with each team's limit. */
    public TeamQuotas teamAccounts() {
        return teamQuotas;
    }

    /** The living jobs as stored, and as they will be if what is proposed here is stored. */
    public ProjectedJobs projection() {
        var jobs = new ArrayList<ProjectedJob>();
        replica.activeJobs().forEach(stored -> jobs.add(projected(stored)));
        return new ProjectedJobs(jobs);
    }

    private ProjectedJob projected(JobRecord stored) {
        return new ProjectedJob(stored, pendingPreemptions.marked(proposedRecords.getOrDefault(stored.id(), stored)));
    }

    /** One transaction per booking, guarded by the job, its machines and its team's ledger. */
    public void place(Plan plan) {
        TeamUsage usage = null;
        for (Binding binding : plan.bindings()) {
            // What would only queue is decided anew later, for more tasks at once: so batches widen with the load.
            if (commitQueue.waiting() >= (binding.job().submission().isGang() ? MOST_WAITING_GANGS : MOST_WAITING)) {
                return;
            }
            if (commitQueue.isLocked(Keys.job(binding.job().id()))
                    || commitQueue.isLocked(Keys.team(binding.job().submission().team()))) {
                continue;
            }
            Map<Integer, String> places = ownPart(binding);
            if (!places.isEmpty()) {
                // Others may have stored more of a job, and a new record of its team, since its placement was proposed
                // here:
                // where the limit is at stake a proposed record must not stand in for the stored one.
                usage = usage == null ? projection().use() : usage;
                place(binding.job(), places, usage);
            }
        }
    }

    /** The places on machines commanded here, as many as one transaction's guards allow: the others follow in the next. */
    private Map<Integer, String> ownPart(Binding binding) {
        int room = Transaction.maxPreconditions(settings.state().lowest().txnOps()) / 2 - OTHER_GUARDS;
        boolean may = !binding.job().submission().isGang() || membership.leads();
        var pages = new HashSet<String>();
        var places = new LinkedHashMap<Integer, String>();
        binding.places().forEach((task, host) -> {
            MachineRecord machine = replica.machines().get(host);
            if (may
                    && machine != null
                    && membership.owns(machine)
                    && !machineWriter.busy(host)
                    && takesTasks.test(machine)
                    && (pages.contains(Keys.machinePage(host)) || pages.size() < room)) {
                pages.add(Keys.machinePage(host));
                places.put(task, host);
            }
        });
        return places;
    }

    private void place(JobRecord job, Map<Integer, String> wanted, TeamUsage usage) {
        var transaction = new Transaction();
        List<TaskTermination> told = new ArrayList<>();
        JobRecord folded = terminationWriter.fold(job, transaction, told);
        Map<Integer, String> places = asManyAsFit(folded, wanted);
        if (places.isEmpty()) {
            return; // some of its tasks must end first
        }
        Resources need = job.submission().perTask().times(places.size());
        Optional<TeamQuotas.Admission> admission = teamQuotas.requestAdmission(transaction, job, usage, need);
        if (admission.isEmpty()) {
            return;
        }
        JobRecord placed = addPlacement(transaction, job, folded, places);
        if (!transaction.fits(settings.state().lowest().txnOps())) {
            return;
        }
        usage.add(job.submission(), places.size());
        admission.get().onProposed();
        tell(job, places.size());
        propose(transaction, job.id(), placed, result -> {
            admission.get().onResult(result);
            if (result instanceof TransactionResult.Applied) {
                told.forEach(event -> terminationWriter.tell(job, event));
            }
        });
    }

    private JobRecord addPlacement(
            Transaction transaction, JobRecord job, JobRecord folded, Map<Integer, String> places) {
        JobRecord placed = folded.withPlaced(places);
        if (job.submission().isGang() && job.submission().tasks() == 1) {
            placed = placed.withGangRunning(); // its placeholder would be the whole gang and start, so it runs directly
        }
        jobWriter.write(transaction, placed);
        places.values()
                .forEach(host -> transaction.requireRevision(
                        Keys.machinePage(host), replica.modRevision(Keys.machinePage(host))));
        if (job.submission().isGang()) {
            transaction.requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER));
        }
        return placed;
    }

    private void tell(JobRecord job, int tasks) {
        if (LOG.isDebugEnabled()) {
            long age = Duration.between(job.arrived(), timeSource.wallTime()).toMillis();
            LOG.debug(
                    "{} ({}): {} placed {} ms after it came",
                    job.id(),
                    job.submission().jobClass(),
                    tasks,
                    age);
        }
    }

    /** Of some places as many as the job's record takes, now and while its tasks end one by one. */
    private Map<Integer, String> asManyAsFit(JobRecord job, Map<Integer, String> places) {
        Map<Integer, String> some = places;
        while (!some.isEmpty()) {
            JobRecord placed = job.withPlaced(some);
            if (fits(jobWriter.size(placed), placed.allocations().size(), jobWriter.capacity())) {
                return some;
            }
            var half = new LinkedHashMap<Integer, String>();
            some.entrySet().stream().limit(some.size() / 2).forEach(e -> half.put(e.getKey(), e.getValue()));
            some = half;
        }
        return some;
    }

    /** Whether a record of some size stays within its limit whatever becomes of its tasks: one that grows beyond it could never be written again. */
    static boolean fits(int size, int allocations, int capacity) {
        return size <= capacity * FILLED_BY_PLACING
                && size + BROKEN_UP_PER_TASK * allocations <= capacity * FILLED_WHEN_BROKEN_UP;
    }

    private void propose(
            Transaction transaction, String id, JobRecord job, java.util.function.Consumer<TransactionResult> then) {
        proposedRecords.put(id, job);
        commitQueue.propose(CommitPriority.PLACEMENT, transaction, result -> {
            proposedRecords.remove(id);
            then.accept(result);
        });
    }

    /** Stops replicas that are to run elsewhere, where room was found for them. */
    public void move(Plan plan) {
        plan.moves().forEach(eviction -> stop(eviction, "moves to another machine"));
    }

    /** Stops the tasks that give way, once their machine is borrowed: its owner would fill the room with other work at once. */
    public void evict(Plan plan) {
        plan.evictions().forEach(eviction -> stop(eviction, "gives way to " + eviction.forJob()));
    }

    /** Has a task end that runs on a machine commanded here, unless it was told already. */
    private void stop(Eviction eviction, String why) {
        String host = eviction.allocation().machineId();
        MachineRecord machine = replica.machines().get(host);
        if (machine == null
                || !membership.owns(machine)
                || eviction.allocation().stopping()) {
            return;
        }
        pendingPreemptions.add(PendingPreemptions.of(eviction.victim(), eviction.allocation()), host);
        workerClient.scheduleReconciliation(host);
        eventRecorder.record(
                LOG,
                "task {}/{} on {} {}",
                eviction.victim().id(),
                eviction.allocation().task(),
                host,
                why);
    }
}
