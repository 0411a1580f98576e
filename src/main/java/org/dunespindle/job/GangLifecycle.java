package org.dunespindle.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.Options;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Moves gangs on: to real tasks once every placeholder idles, back to the queue when the timer ends the placement. */
public final class GangLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(GangLifecycle.class);
    private static final Duration FETCH_ALLOWANCE = Duration.ofSeconds(30);
    private static final long LONGEST_MICROS = 3_600_000_000L;
    private final Settings settings;
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final WorkerClient workerClient;
    private final JobRecordWriter jobWriter;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final EventRecorder eventRecorder;
    private final Supplier<Options> options;
    private final Histogram holdPlacement = new Histogram(LONGEST_MICROS, 2);
    private final Histogram replacement = new Histogram(LONGEST_MICROS, 2);
    private final Map<String, Duration> replacingSince = new HashMap<>();
    private final Map<String, Duration> firstHold = new HashMap<>();

    public GangLifecycle(
            ControllerContext context, CommitQueue commitQueue, WorkerClient workerClient, Supplier<Options> options) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.workers = context.workers();
        this.timeSource = context.timeSource();
        this.eventRecorder = context.eventRecorder();
        this.commitQueue = commitQueue;
        this.workerClient = workerClient;
        this.options = options;
    }

    public Histogram holdPlacement() {
        return holdPlacement;
    }

    public Histogram replacement() {
        return replacement;
    }

    /** The leader's part. */
    public void tick() {
        Duration now = timeSource.now();
        var holding = new HashSet<String>();
        for (JobRecord job : replica.activeJobs()) {
            if (!job.isOpen() || !job.submission().isGang()) {
                continue;
            }
            if (replacingSince.containsKey(job.id())
                    && job.gangPhase() == JobRecord.GangPhase.RUNNING
                    && allIn(job, TaskPhase.RUNNING)) {
                replacement.recordValue(Math.min(
                        LONGEST_MICROS,
                        now.minus(replacingSince.remove(job.id())).toNanos() / 1000));
            }
            if (job.gangPhase() != JobRecord.GangPhase.PLACEHOLDERS) {
                continue;
            }
            holding.add(job.id());
            moveOn(job, now.minus(firstHold.computeIfAbsent(job.id(), k -> now)));
        }
        firstHold.keySet().retainAll(holding);
        replacingSince
                .keySet()
                .removeIf(id -> replica.job(id).filter(JobRecord::isOpen).isEmpty());
    }

    private void moveOn(JobRecord job, Duration since) {
        if (commitQueue.isLocked(Keys.job(job.id()))) {
            return;
        }
        boolean all = job.allocations().size() == job.submission().tasks();
        Duration limit = all
                ? options.get()
                        .firstHoldTimer()
                        .plus(settings.workers().gangWait())
                        .plus(FETCH_ALLOWANCE)
                : options.get().firstHoldTimer();
        if (all && allIn(job, TaskPhase.ASSEMBLING)) {
            holdPlacement.recordValue(Math.min(LONGEST_MICROS, since.toNanos() / 1000));
            eventRecorder.record(
                    LOG,
                    "gang {}: all {} placeholders are placed; real tasks replace them",
                    job.id(),
                    job.submission().tasks());
            replacingSince.put(job.id(), timeSource.now());
            change(job.withGangRunning());
        } else if (since.compareTo(limit) > 0) {
            eventRecorder.record(
                    LOG,
                    "gang {}: its placement ended after {} s with {} of {} placeholders; queued again",
                    job.id(),
                    since.toSeconds(),
                    job.allocations().size(),
                    job.submission().tasks());
            change(job.withGangStopping()
                    .withQueuePosition(timeSource.wallTime().toEpochMilli()));
        }
    }

    private void change(JobRecord to) {
        var transaction = new Transaction().requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER));
        commitQueue.propose(CommitPriority.PLACEMENT, jobWriter.write(transaction, to), result -> {});
    }

    /** Whether every member is reported in a phase, by machines commanded here. */
    private boolean allIn(JobRecord job, TaskPhase phase) {
        for (Allocation allocation : job.allocations()) {
            MachineRecord machine = replica.machines().get(allocation.machineId());
            if (machine == null
                    || !workerClient.ready(machine)
                    || workers.getOrCreate(machine.id()).callInFlight()) {
                return false;
            }
            Optional<TaskStatus> t = workers.getOrCreate(machine.id())
                    .lastHeartbeat()
                    .get()
                    .find(new TaskId(job.id(), allocation.task()), job.expectedAttempt(allocation));
            if (t.filter(x -> x.phase() == phase).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** On every controller: from a machine about to be taken away, work that can save is stopped in time, gangs as a whole. */
    public void drainNoticed() {
        for (String host : workerClient.machinesWithNotice()) {
            MachineRecord machine = replica.machines().get(host);
            if (machine == null || !workerClient.inCommand(machine)) {
                continue;
            }
            for (PlacedTask placed : replica.allocationsOn(machine.id())) {
                JobRecord job = placed.job();
                if (commitQueue.isLocked(Keys.job(job.id()))
                        || !job.isOpen()
                        || placed.allocation().stopping()
                        || job.gangPhase() == JobRecord.GangPhase.STOPPING
                        || !(job.submission().checkpoints() || job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS)) {
                    continue;
                }
                eventRecorder.record(
                        LOG,
                        "machine {} is about to be taken away; {} stops there",
                        machine.id(),
                        job.submission().isGang()
                                ? "gang " + job.id()
                                : "task " + job.id() + "/" + placed.allocation().task());
                var transaction = new Transaction()
                        .requireRevision(
                                Keys.machinePage(machine.id()), replica.modRevision(Keys.machinePage(machine.id())));
                JobRecord stopped = job.submission().isGang() ? job.withGangStopping() : stopAllOn(job, machine.id());
                commitQueue.propose(CommitPriority.PLACEMENT, jobWriter.write(transaction, stopped), result -> {});
            }
        }
    }

    private static JobRecord stopAllOn(JobRecord job, String host) {
        JobRecord changed = job;
        for (Allocation allocation : job.allocations()) {
            if (allocation.machineId().equals(host)) {
                changed = changed.withTaskStopping(allocation.task());
            }
        }
        return changed;
    }
}
