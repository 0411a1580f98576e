package org.dunespindle.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.Options;
import org.dunespindle.control.WorkerState;
import org.dunespindle.job.PlacementPacing;
import org.dunespindle.job.PlacementWriter;
import org.dunespindle.job.TerminationWriter;
import org.dunespindle.machine.CrashLoopDetector;
import org.dunespindle.machine.FleetManager;
import org.dunespindle.machine.MachineCatalog;
import org.dunespindle.machine.MachineProvisioner;
import org.dunespindle.machine.MachineStatusReporter;
import org.dunespindle.machine.MachineTerminator;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.peer.ReportedMachine;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.DemandForecast;
import org.dunespindle.scheduling.JobAttempt;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.MachineSnapshot;
import org.dunespindle.scheduling.ProjectedJobs;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;

/** Builds the input of a plan: all machines and gangs on the leader, only the owned machines and no gangs on any other controller. */
final class SnapshotBuilder {
    /** Size of a job record apart from its allocations, in bytes. */
    private static final int RECORD_BYTES_RESERVED = 1600;
    /** Minimum size of a task in its job's record, however many tasks share a machine: runs of indices become fragmented as tasks end. */
    private static final int RECORD_BYTES_PER_TASK = 6;
    /** Minimum number of tasks of an array that may be allocated at once, regardless of the record size. */
    private static final int MIN_ALLOCATED_TASKS = 8;
    /** A crash-looping job is retried with one task at a time. */
    private static final int MAX_TASKS_OF_CRASH_LOOPING_JOB = 1;

    private final ControllerContext context;
    private final Sources sources;
    private final ServiceLevelObjectives objectives;
    private final DemandForecast demandForecast;
    private final Supplier<Options> options;
    private final Map<String, MachinePool> poolsByMachine = new HashMap<>();
    private final Map<JobAttempt, Duration> firstObservedAt = new HashMap<>();

    /** The components of a controller from which a snapshot is built. */
    record Sources(
            MachineCatalog catalog,
            FleetManager fleetManager,
            MachineProvisioner provisioner,
            MachineTerminator terminator,
            MachineStatusReporter statusReporter,
            PeerHeartbeats peerHeartbeats,
            PlacementWriter placementWriter,
            TerminationWriter terminationWriter,
            PlacementPacing pacing,
            CrashLoopDetector crashLoopDetector) {}

    SnapshotBuilder(
            ControllerContext context, Sources sources, ServiceLevelObjectives objectives, Supplier<Options> options) {
        this.context = context;
        this.sources = sources;
        this.objectives = objectives;
        this.demandForecast = new DemandForecast(context.settings().objectives());
        this.options = options;
    }

    /** Builds a snapshot of the current state, as observed by this controller. */
    ClusterSnapshot build() {
        boolean isLeader = context.membership().isLeader();
        ProjectedJobs projection = sources.placementWriter.projection();
        List<JobRecord> jobs = projection.records();
        demandForecast.observe(jobs);
        return new ClusterSnapshot(
                context.timeSource().wallTime(),
                projection,
                schedulableMachines(isLeader),
                context.settings().teams(),
                poolsByMachine,
                sources.provisioner.poolsWithoutCapacity(),
                maxAllocatedTasks(),
                sources.terminationWriter.unstoredTerminations(),
                sources.pacing.deferredJobs(jobs),
                isLeader,
                drainingMachines(isLeader),
                isLeader ? forecastJobs() : List.of(),
                objectives,
                runtimes(jobs, isLeader));
    }

    private List<DemandForecast.ForecastJob> forecastJobs() {
        return demandForecast.forecastJobs(
                options.get().spareJobs(), context.timeSource().wallTime());
    }

    /** The number of tasks of a job that may be allocated at once: as many as its record can hold, or one if the job is crash-looping. */
    private ToIntFunction<JobRecord> maxAllocatedTasks() {
        int bytesForTasks = context.jobWriter().maxRecordBytes() - RECORD_BYTES_RESERVED;
        int maxTasks = Math.max(MIN_ALLOCATED_TASKS, bytesForTasks / RECORD_BYTES_PER_TASK);
        return job -> sources.crashLoopDetector.isCrashLooping(job.id()) ? MAX_TASKS_OF_CRASH_LOOPING_JOB : maxTasks;
    }

    private List<MachineSnapshot> schedulableMachines(boolean isLeader) {
        var schedulable = new ArrayList<MachineSnapshot>();
        var liveOwners = new HashMap<String, Boolean>();
        Map<String, MachineRecord> machines = context.replica().machines();
        poolsByMachine.keySet().retainAll(machines.keySet());
        // A plain loop, because this runs for every machine in every plan, and capturing lambdas are costly in code
        // compiled by the first-tier compiler.
        for (MachineRecord machine : machines.values()) {
            if (!poolsByMachine.containsKey(machine.id())) {
                poolsByMachine.put(machine.id(), new MachinePool(machine.type(), machine.zone(), machine.spot()));
            }
            boolean owned = context.membership().owns(machine);
            if ((owned || isLeader) && !sources.terminator.isTerminating(machine)) {
                Optional<MachineType> type = sources.catalog.type(machine.type());
                if (type.isPresent()) {
                    boolean up =
                            owned ? sources.statusReporter.isSchedulable(machine) : isUpElsewhere(machine, liveOwners);
                    if (up || bootsInTime(machine)) {
                        schedulable.add(snapshotOf(machine, type.get(), owned, up));
                    }
                }
            }
        }
        return schedulable;
    }

    private boolean bootsInTime(MachineRecord machine) {
        return sources.fleetManager.isBooting(machine) && sources.fleetManager.isExpectedToBoot(machine);
    }

    private MachineSnapshot snapshotOf(MachineRecord machine, MachineType type, boolean owned, boolean up) {
        Set<String> images =
                context.workers().find(machine.id()).map(WorkerState::images).orElse(Set.of());
        return new MachineSnapshot(
                machine.id(), machine.type(), machine.zone(), machine.spot(), type.size(), up, owned, images);
    }

    /** Ids of machines that are draining or about to be lost: owners move replicas in advance, and the leader rents any missing capacity. */
    private Set<String> drainingMachines(boolean isLeader) {
        var draining = new HashSet<String>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (!context.replica().allocationsOn(machine.id()).isEmpty()) {
                boolean owned = context.membership().owns(machine);
                if (owned ? sources.statusReporter.isDeparting(machine) : isLeader && isDrainingElsewhere(machine)) {
                    draining.add(machine.id());
                }
            }
        }
        return draining;
    }

    /** Whether a machine owned by another controller is draining: its worker is reachable but accepts no tasks, as after an interruption notice. */
    private boolean isDrainingElsewhere(MachineRecord machine) {
        Duration maxSilence = context.settings().workers().heartbeatInterval().multipliedBy(2);
        Optional<ReportedMachine> reported = sources.peerHeartbeats.currentReport(machine);
        boolean rejectsTasks = reported.isPresent()
                && !reported.get().up()
                && reported.get().timeSinceLastSeen().compareTo(maxSilence) < 0;
        return machine.draining() || rejectsTasks;
    }

    /**
     * Whether a machine of another controller accepts tasks, according to its owner's latest report. The report also counts
     * while the owner is alive but cannot reach this controller; otherwise gangs could not use its machines during that time.
     * This is safe, because nothing is placed on a machine before this controller has acquired it and has received a
     * heartbeat from it.
     */
    private boolean isUpElsewhere(MachineRecord machine, Map<String, Boolean> liveOwners) {
        Boolean ownerReachesThis = liveOwners.get(machine.owner());
        if (ownerReachesThis == null) {
            ownerReachesThis =
                    sources.peerHeartbeats.recentHeartbeat(machine.owner()).isPresent();
            liveOwners.put(machine.owner(), ownerReachesThis);
        }
        if (!ownerReachesThis && !context.membership().isAlive(machine.owner(), machine.incarnation())) {
            return false;
        }
        Optional<ReportedMachine> reported = sources.peerHeartbeats.lastReport(machine);
        return reported.isPresent() && reported.get().up() && !reported.get().quarantined();
    }

    /**
     * How long tasks that were placed together have been allocated, measured from when this process first observed them. The
     * result is slightly too short, and much too short after a restart of this process.
     */
    private Function<JobAttempt, Duration> runtimes(List<JobRecord> jobs, boolean isLeader) {
        Duration now = context.timeSource().now();
        var present = new HashSet<JobAttempt>();
        for (JobRecord job : jobs) {
            if (isLeader || (job.spec().isPresent() && job.submission().isService())) {
                for (Allocation allocation : job.allocations()) {
                    present.add(new JobAttempt(job.id(), allocation.attemptBase()));
                }
            }
        }
        firstObservedAt.keySet().retainAll(present);
        present.forEach(attempt -> firstObservedAt.putIfAbsent(attempt, now));
        return attempt -> now.minus(firstObservedAt.getOrDefault(attempt, now));
    }
}
