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
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Advances the phases of gangs on the leader: from placeholders to real tasks once all placeholders are assembling, or back to the queue when
 * the placement of a gang times out.
 */
public final class GangLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(GangLifecycle.class);
    /** Additional time that a fully placed gang may take beyond the placement timeout, for image fetches. */
    private static final Duration IMAGE_FETCH_ALLOWANCE = Duration.ofSeconds(30);

    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int LATENCY_DIGITS = 2;
    private static final long NANOS_PER_MICRO = 1000;
    private final Settings settings;
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final WorkerClient workerClient;
    private final JobRecordWriter jobWriter;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final EventRecorder eventRecorder;
    private final Supplier<Options> options;
    private final Histogram placeholderLatency = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    private final Histogram replacementLatency = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    /** By job id: when the replacement of its placeholders by real tasks started. */
    private final Map<String, Duration> replacingSince = new HashMap<>();
    /** By job id: when the job was first observed in the placeholder phase. */
    private final Map<String, Duration> placeholdersSince = new HashMap<>();

    /** Creates the gang lifecycle of one controller. */
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

    /** The time until all placeholders of a gang were assembling, in microseconds. */
    public Histogram placeholderLatency() {
        return placeholderLatency;
    }

    /** The time until real tasks had replaced all placeholders of a gang, in microseconds. */
    public Histogram replacementLatency() {
        return replacementLatency;
    }

    /** Advances all gangs that are due. Must be called only on the leader. */
    public void tick() {
        Duration now = timeSource.now();
        var placing = new HashSet<String>();
        for (JobRecord job : replica.activeJobs()) {
            if (!job.isOpen() || !job.submission().isGang()) {
                continue;
            }
            recordReplacement(job, now);
            if (job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS) {
                placing.add(job.id());
                advance(job, now.minus(placeholdersSince.computeIfAbsent(job.id(), id -> now)));
            }
        }
        placeholdersSince.keySet().retainAll(placing);
        replacingSince
                .keySet()
                .removeIf(id -> replica.activeJob(id).filter(JobRecord::isOpen).isEmpty());
    }

    private void recordReplacement(JobRecord job, Duration now) {
        if (replacingSince.containsKey(job.id())
                && job.gangPhase() == JobRecord.GangPhase.RUNNING
                && allMembersIn(job, TaskPhase.RUNNING)) {
            recordLatency(replacementLatency, now.minus(replacingSince.remove(job.id())));
        }
    }

    private static void recordLatency(Histogram histogram, Duration latency) {
        histogram.recordValue(Math.min(MAX_LATENCY_MICROS, latency.toNanos() / NANOS_PER_MICRO));
    }

    private void advance(JobRecord job, Duration inPhase) {
        if (commitQueue.isLocked(Keys.job(job.id()))) {
            return;
        }
        boolean allPlaced = job.allocations().size() == job.submission().tasks();
        Duration timeout = placementTimeout(allPlaced);
        if (allPlaced && allMembersIn(job, TaskPhase.ASSEMBLING)) {
            startRealTasks(job, inPhase);
        } else if (inPhase.compareTo(timeout) > 0) {
            requeue(job, inPhase);
        }
    }

    private Duration placementTimeout(boolean allPlaced) {
        Duration timeout = options.get().gangPlacementTimeout();
        return allPlaced
                ? timeout.plus(settings.workers().gangAssemblyTimeout()).plus(IMAGE_FETCH_ALLOWANCE)
                : timeout;
    }

    private void startRealTasks(JobRecord job, Duration inPhase) {
        recordLatency(placeholderLatency, inPhase);
        eventRecorder.record(
                LOG,
                "gang {}: all {} placeholders are placed; replacing them with the real tasks",
                job.id(),
                job.submission().tasks());
        replacingSince.put(job.id(), timeSource.now());
        write(job.withGangRunning());
    }

    private void requeue(JobRecord job, Duration inPhase) {
        eventRecorder.record(
                LOG,
                "gang {}: its placement ended after {} s with {} of {} placeholders; queued again",
                job.id(),
                inPhase.toSeconds(),
                job.allocations().size(),
                job.submission().tasks());
        write(job.withGangStopping().withQueuePosition(timeSource.wallTime().toEpochMilli()));
    }

    private void write(JobRecord changed) {
        var transaction = new Transaction().requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER));
        commitQueue.propose(CommitPriority.PLACEMENT, jobWriter.write(transaction, changed), result -> {});
    }

    /** Whether workers commanded by this controller report all allocated members in the given phase. */
    private boolean allMembersIn(JobRecord job, TaskPhase phase) {
        for (Allocation allocation : job.allocations()) {
            if (!isMemberIn(job, allocation, phase)) {
                return false;
            }
        }
        return true;
    }

    private boolean isMemberIn(JobRecord job, Allocation allocation, TaskPhase phase) {
        MachineRecord machine = replica.machines().get(allocation.machineId());
        if (machine == null || !workerClient.isReady(machine)) {
            return false;
        }
        WorkerState worker = workers.getOrCreate(machine.id());
        if (worker.callInFlight()) {
            return false;
        }
        Optional<TaskStatus> status = worker.lastHeartbeat()
                .get()
                .find(new TaskId(job.id(), allocation.task()), job.expectedAttempt(allocation));
        return status.filter(reported -> reported.phase() == phase).isPresent();
    }
}
