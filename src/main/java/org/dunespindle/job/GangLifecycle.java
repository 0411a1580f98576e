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
    private final CommitQueue committer;
    private final WorkerClient workerClient;
    private final JobRecordWriter jobWriter;
    private final WorkerRegistry sessions;
    private final TimeSource timeline;
    private final EventRecorder decisions;
    private final Supplier<Options> options;
    private final Histogram holdPlacement = new Histogram(LONGEST_MICROS, 2);
    private final Histogram replacement = new Histogram(LONGEST_MICROS, 2);
    private final Map<String, Duration> replacingSince = new HashMap<>();
    private final Map<String, Duration> firstHold = new HashMap<>();

    public GangLifecycle(ControllerContext context, CommitQueue committer, WorkerClient workerClient, Supplier<Options> options) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.sessions = context.workers();
        this.timeline = context.timeSource();
        this.decisions = context.eventRecorder();
        this.committer = committer;
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
        Duration now = timeline.now();
        var holding = new HashSet<String>();
        for (JobRecord j : replica.activeJobs()) {
            if (!j.isOpen() || !j.submission().isGang()) {
                continue;
            }
            if (replacingSince.containsKey(j.id()) && j.gangPhase() == JobRecord.GangPhase.RUNNING && allIn(j, TaskPhase.RUNNING)) {
                replacement.recordValue(Math.min(
                        LONGEST_MICROS, now.minus(replacingSince.remove(j.id())).toNanos() / 1000));
            }
            if (j.gangPhase() != JobRecord.GangPhase.PLACEHOLDERS) {
                continue;
            }
            holding.add(j.id());
            moveOn(j, now.minus(firstHold.computeIfAbsent(j.id(), k -> now)));
        }
        firstHold.keySet().retainAll(holding);
        replacingSince
                .keySet()
                .removeIf(id -> replica.job(id).filter(JobRecord::isOpen).isEmpty());
    }

    private void moveOn(JobRecord j, Duration since) {
        if (committer.isLocked(Keys.job(j.id()))) {
            return;
        }
        boolean all = j.allocations().size() == j.submission().tasks();
        Duration limit = all
                ? options.get()
                        .firstHoldTimer()
                        .plus(settings.workers().gangWait())
                        .plus(FETCH_ALLOWANCE)
                : options.get().firstHoldTimer();
        if (all && allIn(j, TaskPhase.ASSEMBLING)) {
            holdPlacement.recordValue(Math.min(LONGEST_MICROS, since.toNanos() / 1000));
            decisions.record(
                    LOG,
                    "gang {}: all {} placeholders are placed; real tasks replace them",
                    j.id(),
                    j.submission().tasks());
            replacingSince.put(j.id(), timeline.now());
            change(j.withGangRunning());
        } else if (since.compareTo(limit) > 0) {
            decisions.record(
                    LOG,
                    "gang {}: its placement ended after {} s with {} of {} placeholders; queued again",
                    j.id(),
                    since.toSeconds(),
                    j.allocations().size(),
                    j.submission().tasks());
            change(j.withGangStopping().withQueuePosition(timeline.wallTime().toEpochMilli()));
        }
    }

    private void change(JobRecord to) {
        var txn = new Transaction().requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER));
        committer.propose(CommitPriority.PLACEMENT, jobWriter.write(txn, to), r -> {});
    }

    /** Whether every member is reported in a phase, by machines commanded here. */
    private boolean allIn(JobRecord j, TaskPhase phase) {
        for (Allocation c : j.allocations()) {
            MachineRecord h = replica.machines().get(c.machineId());
            if (h == null || !workerClient.ready(h) || sessions.getOrCreate(h.id()).callInFlight) {
                return false;
            }
            Optional<TaskStatus> t =
                    sessions.getOrCreate(h.id()).lastHeartbeat.get().find(new TaskId(j.id(), c.task()), j.expectedAttempt(c));
            if (t.filter(x -> x.phase() == phase).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** On every controller: from a machine about to be taken away, work that can save is stopped in time, gangs as a whole. */
    public void drainNoticed() {
        for (String host : workerClient.machinesWithNotice()) {
            MachineRecord h = replica.machines().get(host);
            if (h == null || !workerClient.inCommand(h)) {
                continue;
            }
            for (PlacedTask p : replica.allocationsOn(h.id())) {
                JobRecord j = p.job();
                if (committer.isLocked(Keys.job(j.id()))
                        || !j.isOpen()
                        || p.allocation().stopping()
                        || j.gangPhase() == JobRecord.GangPhase.STOPPING
                        || !(j.submission().checkpoints() || j.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS)) {
                    continue;
                }
                decisions.record(
                        LOG,
                        "machine {} is about to be taken away; {} stops there",
                        h.id(),
                        j.submission().isGang()
                                ? "gang " + j.id()
                                : "task " + j.id() + "/" + p.allocation().task());
                var txn = new Transaction().requireRevision(Keys.machinePage(h.id()), replica.modRevision(Keys.machinePage(h.id())));
                JobRecord stopped = j.submission().isGang() ? j.withGangStopping() : stopAllOn(j, h.id());
                committer.propose(CommitPriority.PLACEMENT, jobWriter.write(txn, stopped), r -> {});
            }
        }
    }

    private static JobRecord stopAllOn(JobRecord j, String host) {
        JobRecord changed = j;
        for (Allocation c : j.allocations()) {
            if (c.machineId().equals(host)) {
                changed = changed.withTaskStopping(c.task());
            }
        }
        return changed;
    }
}
