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

/** Gathers what a plan depends on: all machines and gangs for the leader, its own machines for any other controller. */
final class SnapshotBuilder {
    /** What a record holds beside its allocations, in bytes. */
    private static final int RECORD_BYTES_RESERVED = 1600;
    /** What a task takes of its job's record at least, however many share a machine: a run of tasks breaks up while they end one by one. */
    private static final int RECORD_BYTES_PER_TASK = 6;

    private static final int LEAST_TASKS = 8;
    private final ControllerContext context;
    private final MachineCatalog catalog;
    private final FleetManager fleetManager;
    private final MachineProvisioner provisioner;
    private final MachineTerminator terminator;
    private final MachineStatusReporter statusReporter;
    private final PeerHeartbeats peerHeartbeats;
    private final PlacementWriter placementWriter;
    private final TerminationWriter terminationWriter;
    private final PlacementPacing pacing;
    private final CrashLoopDetector crashLoopDetector;
    private final ServiceLevelObjectives objectives;
    private final DemandForecast demandForecast;
    private final Supplier<Options> options;
    private final Map<String, MachinePool> places = new HashMap<>();
    private final Map<JobAttempt, Duration> startedAt = new HashMap<>();

    /** The parts of a controller that know what a plan depends on. */
    record Sources(
            MachineCatalog catalog,
            FleetManager fleet,
            MachineProvisioner renter,
            MachineTerminator returner,
            MachineStatusReporter machineNews,
            PeerHeartbeats peers,
            PlacementWriter placements,
            TerminationWriter outcomes,
            PlacementPacing pacing,
            CrashLoopDetector failureAttribution) {}

    SnapshotBuilder(
            ControllerContext context, Sources sources, ServiceLevelObjectives objectives, Supplier<Options> options) {
        this.context = context;
        this.catalog = sources.catalog;
        this.fleetManager = sources.fleet;
        this.provisioner = sources.renter;
        this.terminator = sources.returner;
        this.statusReporter = sources.machineNews;
        this.peerHeartbeats = sources.peers;
        this.placementWriter = sources.placements;
        this.terminationWriter = sources.outcomes;
        this.pacing = sources.pacing;
        this.crashLoopDetector = sources.failureAttribution;
        this.objectives = objectives;
        this.demandForecast = new DemandForecast(context.settings().objectives());
        this.options = options;
    }

    /** The state as it is known now. */
    ClusterSnapshot now() {
        boolean leads = context.membership().leads();
        ProjectedJobs projection = placementWriter.projection();
        List<JobRecord> jobs = projection.expected();
        demandForecast.observe(jobs);
        return new ClusterSnapshot(
                context.timeSource().wallTime(),
                projection,
                hosts(leads),
                context.settings().teams(),
                places,
                provisioner.refused(),
                mostTasks(),
                terminationWriter.ended(),
                pacing.leftAlone(jobs),
                leads,
                departing(leads),
                leads
                        ? demandForecast.forecastJobs(
                                options.get().spareJobs(), context.timeSource().wallTime())
                        : List.of(),
                objectives,
                progress(jobs, leads));
    }

    /** How many tasks of an array may be under way; a job that fails everywhere takes the room of one, until one ends well. */
    private ToIntFunction<JobRecord> mostTasks() {
        int room = context.jobWriter().capacity() - RECORD_BYTES_RESERVED;
        int most = Math.max(LEAST_TASKS, room / RECORD_BYTES_PER_TASK);
        return job -> crashLoopDetector.isCrashLooping(job.id()) ? 1 : most;
    }

    private List<MachineSnapshot> hosts(boolean leads) {
        var hosts = new ArrayList<MachineSnapshot>();
        var trusted = new HashMap<String, Boolean>();
        Map<String, MachineRecord> machines = context.replica().machines();
        places.keySet().retainAll(machines.keySet());
        // A plain loop: this runs for every machine with every plan, and capturing lambdas are dear with the first-tier
        // compiler.
        for (MachineRecord machine : machines.values()) {
            if (!places.containsKey(machine.id())) {
                places.put(machine.id(), new MachinePool(machine.type(), machine.zone(), machine.spot()));
            }
            boolean mine = context.membership().owns(machine);
            if ((mine || leads) && !terminator.leaves(machine)) {
                Optional<MachineType> type = catalog.type(machine.type());
                if (type.isPresent()) {
                    add(hosts, machine, type.get(), mine, trusted);
                }
            }
        }
        return hosts;
    }

    /** Machines on their way out: their owners move replicas ahead, and the leader rents room for those that find none. */
    private Set<String> departing(boolean leads) {
        var departing = new HashSet<String>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (!context.replica().allocationsOn(machine.id()).isEmpty()) {
                boolean mine = context.membership().owns(machine);
                if (mine ? statusReporter.departs(machine) : leads && departsElsewhere(machine)) {
                    departing.add(machine.id());
                }
            }
        }
        return departing;
    }

    /** A machine that its owner hears but gives nothing new, as after a notice. */
    private boolean departsElsewhere(MachineRecord machine) {
        Duration lately = context.settings().workers().report().multipliedBy(2);
        Optional<ReportedMachine> told = peerHeartbeats.machine(machine);
        boolean closed =
                told.isPresent() && !told.get().up() && told.get().silentFor().compareTo(lately) < 0;
        return machine.draining() || closed;
    }

    private void add(
            List<MachineSnapshot> hosts,
            MachineRecord machine,
            MachineType type,
            boolean mine,
            Map<String, Boolean> trusted) {
        boolean up = mine ? statusReporter.takesTasks(machine) : upElsewhere(machine, trusted);
        if (!up && !(fleetManager.booting(machine) && fleetManager.bootsInTime(machine))) {
            return;
        }
        Set<String> images =
                context.workers().find(machine.id()).map(WorkerState::images).orElse(Set.of());
        hosts.add(new MachineSnapshot(
                machine.id(), machine.type(), machine.zone(), machine.spot(), type.size(), up, mine, images));
    }

    /**
     * Whether another's machine takes tasks as its owner told: also while the owner, though it lives, cannot talk to this controller. Gangs
     * would go without its machines until then; nothing is placed on one before it has been borrowed and has reported here.
     */
    private boolean upElsewhere(MachineRecord machine, Map<String, Boolean> trusted) {
        Boolean talks = trusted.get(machine.owner());
        if (talks == null) {
            talks = peerHeartbeats.heartbeat(machine.owner()).isPresent();
            trusted.put(machine.owner(), talks);
        }
        if (!talks && !context.membership().isAlive(machine.owner(), machine.incarnation())) {
            return false;
        }
        Optional<ReportedMachine> told = peerHeartbeats.lastTold(machine);
        return told.isPresent() && told.get().up() && !told.get().quarantined();
    }

    /** How long tasks booked together have been under way: since they were first seen here, which is a little late or, after a start, much. */
    private Function<JobAttempt, Duration> progress(List<JobRecord> jobs, boolean all) {
        Duration now = context.timeSource().now();
        var present = new HashSet<JobAttempt>();
        for (JobRecord job : jobs) {
            if (!all && (job.spec().isEmpty() || !job.submission().isService())) {
                continue;
            }
            for (Allocation allocation : job.allocations()) {
                present.add(new JobAttempt(job.id(), allocation.attemptBase()));
            }
        }
        startedAt.keySet().retainAll(present);
        present.forEach(started -> startedAt.putIfAbsent(started, now));
        return started -> now.minus(startedAt.getOrDefault(started, now));
    }
}
