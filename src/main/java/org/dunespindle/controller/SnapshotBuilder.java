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

/** Builds the snapshot that a plan rests on: all machines and gangs for the leader, its own machines for any other controller. */
final class SnapshotBuilder {
    /** What a job record holds beside its allocations, in bytes. */
    private static final int RECORD_BYTES_RESERVED = 1600;
    /** What a task takes of its job's record at least, however many share a machine: a run of indices breaks up as they end. */
    private static final int RECORD_BYTES_PER_TASK = 6;
    /** Tasks of an array that may be under way at once however small the records are. */
    private static final int MIN_TASKS_UNDER_WAY = 8;
    /** A crash-looping job may try one task at a time. */
    private static final int TASKS_OF_CRASH_LOOPING_JOB = 1;

    private final ControllerContext context;
    private final Sources sources;
    private final ServiceLevelObjectives objectives;
    private final DemandForecast demandForecast;
    private final Supplier<Options> options;
    private final Map<String, MachinePool> poolsByMachine = new HashMap<>();
    private final Map<JobAttempt, Duration> firstSeenAt = new HashMap<>();

    /** The parts of a controller that know what a plan depends on. */
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

    /** Builds a snapshot of the state as it is known now. */
    ClusterSnapshot build() {
        boolean leads = context.membership().isLeader();
        ProjectedJobs projection = sources.placementWriter.projection();
        List<JobRecord> jobs = projection.records();
        demandForecast.observe(jobs);
        return new ClusterSnapshot(
                context.timeSource().wallTime(),
                projection,
                schedulableMachines(leads),
                context.settings().teams(),
                poolsByMachine,
                sources.provisioner.poolsWithoutCapacity(),
                maxTasksUnderWay(),
                sources.terminationWriter.unstoredTerminations(),
                sources.pacing.deferredJobs(jobs),
                leads,
                drainingMachines(leads),
                leads ? forecastJobs() : List.of(),
                objectives,
                elapsedTimes(jobs, leads));
    }

    private List<DemandForecast.ForecastJob> forecastJobs() {
        return demandForecast.forecastJobs(
                options.get().spareJobs(), context.timeSource().wallTime());
    }

    /** How many tasks of an array may be under way at once: as many as its record can hold. */
    private ToIntFunction<JobRecord> maxTasksUnderWay() {
        int bytesForTasks = context.jobWriter().maxRecordBytes() - RECORD_BYTES_RESERVED;
        int maxTasks = Math.max(MIN_TASKS_UNDER_WAY, bytesForTasks / RECORD_BYTES_PER_TASK);
        return job -> sources.crashLoopDetector.isCrashLooping(job.id()) ? TASKS_OF_CRASH_LOOPING_JOB : maxTasks;
    }

    private List<MachineSnapshot> schedulableMachines(boolean leads) {
        var schedulable = new ArrayList<MachineSnapshot>();
        var liveOwners = new HashMap<String, Boolean>();
        Map<String, MachineRecord> machines = context.replica().machines();
        poolsByMachine.keySet().retainAll(machines.keySet());
        // A plain loop: this runs for every machine with every plan, and capturing lambdas are costly with the
        // first-tier
        // compiler.
        for (MachineRecord machine : machines.values()) {
            if (!poolsByMachine.containsKey(machine.id())) {
                poolsByMachine.put(machine.id(), new MachinePool(machine.type(), machine.zone(), machine.spot()));
            }
            boolean owned = context.membership().owns(machine);
            if ((owned || leads) && !sources.terminator.isTerminating(machine)) {
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

    /** Machines about to be drained or lost: their owners move replicas ahead, and the leader rents capacity for those without room. */
    private Set<String> drainingMachines(boolean leads) {
        var draining = new HashSet<String>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (!context.replica().allocationsOn(machine.id()).isEmpty()) {
                boolean owned = context.membership().owns(machine);
                if (owned ? sources.statusReporter.isDeparting(machine) : leads && isDrainingElsewhere(machine)) {
                    draining.add(machine.id());
                }
            }
        }
        return draining;
    }

    /** A machine that its owner hears from but gives nothing new, as after a termination notice. */
    private boolean isDrainingElsewhere(MachineRecord machine) {
        Duration maxSilence = context.settings().workers().heartbeatInterval().multipliedBy(2);
        Optional<ReportedMachine> reported = sources.peerHeartbeats.currentReport(machine);
        boolean closed = reported.isPresent()
                && !reported.get().up()
                && reported.get().timeSinceLastSeen().compareTo(maxSilence) < 0;
        return machine.draining() || closed;
    }

    /**
     * Whether another controller's machine takes tasks, as its owner last reported: also while the owner, though alive, cannot
     * reach this controller. Otherwise gangs would go without its machines until then; nothing is placed on one before this
     * controller has acquired it and has received a heartbeat from it.
     */
    private boolean isUpElsewhere(MachineRecord machine, Map<String, Boolean> liveOwners) {
        Boolean ownerReaches = liveOwners.get(machine.owner());
        if (ownerReaches == null) {
            ownerReaches =
                    sources.peerHeartbeats.recentHeartbeat(machine.owner()).isPresent();
            liveOwners.put(machine.owner(), ownerReaches);
        }
        if (!ownerReaches && !context.membership().isAlive(machine.owner(), machine.incarnation())) {
            return false;
        }
        Optional<ReportedMachine> reported = sources.peerHeartbeats.lastReport(machine);
        return reported.isPresent() && reported.get().up() && !reported.get().quarantined();
    }

    /**
     * How long tasks placed together have been under way: since they were first seen here, which is a little late, or much
     * after a restart of this process.
     */
    private Function<JobAttempt, Duration> elapsedTimes(List<JobRecord> jobs, boolean leads) {
        Duration now = context.timeSource().now();
        var present = new HashSet<JobAttempt>();
        for (JobRecord job : jobs) {
            if (leads || (job.spec().isPresent() && job.submission().isService())) {
                for (Allocation allocation : job.allocations()) {
                    present.add(new JobAttempt(job.id(), allocation.attemptBase()));
                }
            }
        }
        firstSeenAt.keySet().retainAll(present);
        present.forEach(attempt -> firstSeenAt.putIfAbsent(attempt, now));
        return attempt -> now.minus(firstSeenAt.getOrDefault(attempt, now));
    }
}
