package org.dunespindle.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.dunespindle.api.AdminApi;
import org.dunespindle.api.ControllerStatus;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.api.SubmissionFeasibility;
import org.dunespindle.api.UserApi;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.FormatUpgrade;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.control.OversizeRecordSplitter;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.job.GangLifecycle;
import org.dunespindle.job.PlacementPacing;
import org.dunespindle.job.PlacementWriter;
import org.dunespindle.job.TerminationWriter;
import org.dunespindle.machine.CloudClient;
import org.dunespindle.machine.CloudInventory;
import org.dunespindle.machine.CrashLoopDetector;
import org.dunespindle.machine.FleetManager;
import org.dunespindle.machine.MachineCatalog;
import org.dunespindle.machine.MachineProvisioner;
import org.dunespindle.machine.MachineStatusReporter;
import org.dunespindle.machine.MachineTerminator;
import org.dunespindle.machine.Quarantine;
import org.dunespindle.machine.ShardOwnership;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.peer.PeerState;
import org.dunespindle.peer.WriteRateAllocator;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.Planner;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.worker.CancellationTracker;
import org.dunespindle.worker.HeartbeatHandler;
import org.dunespindle.worker.PartitionDetector;
import org.dunespindle.worker.PendingPreemptions;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: repeats rounds that compare what is wanted with what is and propose the difference.
 * Machines about which something changed are attended to at once; the whole is planned anew less often, and
 * the less often the dearer a plan is, so that answers to workers and users keep their turn.
 */
public final class Controller implements ControllerStatus {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final Duration ROUND_AT_MOST_EVERY = Duration.ofMillis(25);
    private static final Duration ROUND_AT_LEAST_EVERY = Duration.ofMillis(500);
    /** For what looks through all machines or jobs. */
    private static final Duration LOOK_EVERY = Duration.ofMillis(100);

    private static final Duration PLAN_AT_MOST_EVERY = Duration.ofMillis(150);
    private static final Duration PLAN_AT_LEAST_EVERY = Duration.ofSeconds(1);
    private static final Duration HEARTBEAT_EVERY = Duration.ofMillis(1000);
    private static final Duration SYNC_EVERY = Duration.ofMillis(300);
    private static final Duration CATALOG_PATIENCE = Duration.ofSeconds(10);
    private static final Duration PLACING_VIEW = Duration.ofSeconds(3);
    private static final Duration CUT_OFF_VIEW = Duration.ofSeconds(4);
    private static final int ROUND_SHARE = 4;
    private static final int PLAN_SHARE = 10;
    private static final long LONGEST_MICROS = 60_000_000L;
    private final Settings settings;
    private final TimeSource timeSource;
    private final StateStoreClient stateStore;
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final WorkerRegistry workers = new WorkerRegistry();
    private final PauseDetector pauseDetector;
    private final PendingPreemptions pendingPreemptions = new PendingPreemptions();
    private final CancellationTracker cancellationTracker;
    private final CrashLoopDetector crashLoopDetector;
    private final MachineRecordWriter machineWriter;
    private final WorkerClient workerClient;
    private final HeartbeatHandler heartbeatHandler;
    private final PeerHeartbeats peerHeartbeats;
    private final CloudClient cloud;
    private final MachineCatalog catalog;
    private final FleetManager fleetManager;
    private final MachineTerminator terminator;
    private final MachineStatusReporter statusReporter;
    private final ShardOwnership shardOwnership;
    private final TerminationWriter terminationWriter;
    private final PlacementWriter placementWriter;
    private final GangLifecycle gangLifecycle;
    private final UserApi userApi;
    private final EventRecorder eventRecorder;
    private final WriteRateAllocator writeRateAllocator;
    private final SnapshotBuilder snapshotBuilder;
    private final LoadReporter loadReporter;
    private final FormatUpgrade formatUpgrade;
    private final OversizeRecordSplitter oversizeRecords;
    private final Consumer<String> cannotGoOn;
    private final JobDelegation jobDelegation;
    private Options options;
    private long optionsStamp;
    private final AdminApi admin;
    private final PartitionDetector partitionDetector;
    private final Histogram accepts = new Histogram(LONGEST_MICROS, 2);
    private final Histogram rounds = new Histogram(LONGEST_MICROS, 2);
    private final Histogram plans = new Histogram(LONGEST_MICROS, 2);
    private Plan plan = Plan.NONE;
    private Duration lastRound = Duration.ZERO;
    private Duration lastLook = Duration.ZERO;
    private Duration lastCost = Duration.ZERO;
    private Duration lastPlan = Duration.ZERO;
    private Duration planCost = Duration.ZERO;
    private long plannedFor = -1;
    private boolean roundSet;

    /**
     * Wires a controller together; nothing happens before {@link #start}.
     *
     * @param formats the versions of the stored forms that are announced and understood
     * @param cannotGoOn told, in words for an operator, why this controller must end
     * @param connector links the controller to other cells
     */
    public Controller(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            FormatSupport formats,
            Consumer<String> cannotGoOn,
            Function<DelegationContext, JobDelegation> connector) {
        this.cannotGoOn = cannotGoOn;
        this.settings = settings;
        this.timeSource = timeSource;
        this.pauseDetector = new PauseDetector(timeSource);
        this.eventRecorder = new EventRecorder(timeSource);
        this.options = Options.defaults(settings.workers().lease());
        var objectives = new ServiceLevelObjectives(settings.objectives());
        this.stateStore = new StateStoreClient(httpClient, settings, timeSource);
        this.replica = new StateReplica(stateStore, timeSource, SYNC_EVERY, this::wake);
        this.membership = new Membership(settings.nodeName(), formats.announced(), stateStore, replica, timeSource);
        this.commitQueue = new CommitQueue(
                stateStore, replica, timeSource, settings.state().lowest().txnOps(), this::wake);
        var context = context();
        this.formatUpgrade = new FormatUpgrade(context, commitQueue, formats);
        this.oversizeRecords = new OversizeRecordSplitter(context, commitQueue, stateStore);
        this.machineWriter = new MachineRecordWriter(replica, commitQueue, timeSource);
        this.crashLoopDetector = new CrashLoopDetector(replica::job);
        this.cancellationTracker = new CancellationTracker(settings, replica, timeSource);
        this.workerClient = new WorkerClient(
                context, machineWriter, httpClient, pendingPreemptions, cancellationTracker, this::wake);
        this.heartbeatHandler = new HeartbeatHandler(
                context, machineWriter, workerClient, cancellationTracker, this::cutOff, this::fellQuiet, this::wake);
        this.peerHeartbeats = new PeerHeartbeats(
                settings,
                httpClient,
                timeSource,
                membership::incarnation,
                membership::leader,
                replica,
                new PeerListener());
        this.writeRateAllocator =
                new WriteRateAllocator(settings, peerHeartbeats, membership, commitQueue, stateStore, timeSource);
        this.cloud = new CloudClient(httpClient, settings, timeSource);
        this.catalog = new MachineCatalog(cloud, timeSource, this::wake);
        this.terminator = new MachineTerminator(context, machineWriter, cloud);
        var provisioner =
                new MachineProvisioner(context, machineWriter, cloud, catalog, objectives, terminator::isGone);
        var inventory = new CloudInventory(context, machineWriter, cloud, provisioner, terminator);
        var quarantine = new Quarantine(crashLoopDetector, peerHeartbeats, timeSource, this::options);
        this.fleetManager = new FleetManager(
                context,
                machineWriter,
                workerClient,
                peerHeartbeats,
                quarantine,
                this::options,
                new FleetManager.Cloud(inventory, catalog, provisioner, terminator));
        this.statusReporter = new MachineStatusReporter(context, workerClient, quarantine, terminator);
        this.shardOwnership = new ShardOwnership(context, workerClient, machineWriter, peerHeartbeats, this::options);
        this.terminationWriter = new TerminationWriter(context, commitQueue, workerClient, crashLoopDetector);
        this.placementWriter = new PlacementWriter(
                context,
                commitQueue,
                machineWriter,
                terminationWriter,
                pendingPreemptions,
                workerClient,
                statusReporter::takesTasks);
        this.gangLifecycle = new GangLifecycle(context, commitQueue, workerClient, this::options);
        this.snapshotBuilder =
                new SnapshotBuilder(context, planSources(context, provisioner), objectives, this::options);
        this.loadReporter =
                new LoadReporter(context, heartbeatHandler, workerClient, commitQueue, stateStore, rounds, plans);
        this.partitionDetector = new PartitionDetector(context, workerClient, peerHeartbeats);
        this.jobDelegation = connector.apply(exchangeContext(context));
        this.admin = new AdminApi(
                context, commitQueue, machineWriter, placementWriter.teamAccounts(), this, jobDelegation, latencies());
        this.userApi = new UserApi(context, stateStore, commitQueue, catalog::types, accepts, jobDelegation);
    }

    private DelegationContext exchangeContext(ControllerContext context) {
        return new DelegationContext(
                settings,
                timeSource,
                replica,
                context.jobWriter(),
                membership,
                commitQueue,
                eventRecorder,
                this::options,
                job -> catalog.types()
                        .map(types -> new DelegationContext.NeverVerdict(
                                SubmissionFeasibility.whyNever(job, types, settings))),
                this::whyWaitsHere,
                () -> catalog.types().orElse(List.of()));
    }

    private SnapshotBuilder.Sources planSources(ControllerContext context, MachineProvisioner provisioner) {
        return new SnapshotBuilder.Sources(
                catalog,
                fleetManager,
                provisioner,
                terminator,
                statusReporter,
                peerHeartbeats,
                placementWriter,
                terminationWriter,
                new PlacementPacing(context, commitQueue),
                crashLoopDetector);
    }

    private ControllerContext context() {
        var jobWriter = new JobRecordWriter(replica, settings.state());
        return new ControllerContext(
                settings, timeSource, replica, jobWriter, membership, workers, eventRecorder, pauseDetector);
    }

    private Map<String, Histogram> latencies() {
        var byName = new TreeMap<String, Histogram>();
        byName.put("decisionRound", rounds);
        byName.put("plan", plans);
        byName.put("stateCall", stateStore.latency());
        byName.put("cloudCall", cloud.latency());
        byName.put("holdPlacement", gangLifecycle.holdPlacement());
        byName.put("replacement", gangLifecycle.replacement());
        byName.put("accept", accepts);
        return byName;
    }

    /** The operators' settings as stored now. */
    @Override
    public Options options() {
        long stamp = replica.modRevision(Keys.OPTIONS);
        if (stamp != optionsStamp) {
            optionsStamp = stamp;
            options = Options.of(replica.value(Keys.OPTIONS), settings.workers().lease());
        }
        return options;
    }

    /** The administration API. */
    public AdminApi admin() {
        return admin;
    }

    /** Why an unfinished job waits, in words for its user. */
    @Override
    public String whyWaits(JobRecord job) {
        return jobDelegation.whyWaits(job).orElseGet(() -> whyWaitsHere(job));
    }

    private String whyWaitsHere(JobRecord job) {
        if (replica.staleness().compareTo(PLACING_VIEW) > 0) {
            return "the state service does not answer; nothing new is placed";
        }
        if (job.spec().isPresent() && job.submission().isGang() && job.gangPhase() == JobRecord.GangPhase.STOPPING) {
            return "its members are being stopped before it is placed again";
        }
        if (crashLoopDetector.isCrashLooping(job.id())) {
            return "its tasks have failed " + job.failures() + " times, on "
                    + crashLoopDetector.machinesOf(job.id()).size()
                    + " machines seen from here, and none ended well; one is tried at a time, with growing pauses";
        }
        if (job.isDelegatedAway()) {
            return "cell " + job.outboundDelegation().orElseThrow().cell() + " may hold it";
        }
        if (job.unplacedCount() == 0) {
            return "its placeholders fetch the image";
        }
        return plan.reasons()
                .getOrDefault(
                        job.id(),
                        job.submission().isGang() && !membership.leads()
                                ? "the leading controller places gangs; ask "
                                        + membership.leader().orElse("it")
                                : "it is about to be placed");
    }

    /** The API for users. */
    public UserApi userApi() {
        return userApi;
    }

    /** Where workers' reports are answered. */
    public HeartbeatHandler heartbeatHandler() {
        return heartbeatHandler;
    }

    /** Begins to read the state service and to take part. */
    public void start() {
        replica.start();
        catalog.start();
        jobDelegation.start();
        tick();
        sendHeartbeat();
    }

    /** Whether users' requests can be served here. In an outage that all share, staying in is better than all leaving. */
    public boolean healthy() {
        // Polls need no catalog, so a cloud that stays silent must not keep users out for good.
        boolean catalogAwaited = catalog.types().isEmpty() && timeSource.now().compareTo(CATALOG_PATIENCE) < 0;
        return replica.loaded()
                && !formatUpgrade.tooNew()
                && !catalogAwaited
                && membership.incarnation() > 0
                && !cutOff();
    }

    /**
     * Whether this controller alone cannot read the state service. In an outage that all share, the others still
     * answer, and say that they can't either; if nobody answers, it must be assumed that others go on elsewhere.
     */
    private boolean cutOff() {
        if (replica.staleness().compareTo(CUT_OFF_VIEW) < 0) {
            return false;
        }
        List<PeerState> heartbeats = peerHeartbeats.livePeers();
        return heartbeats.isEmpty()
                ? !settings.seeds().isEmpty()
                : heartbeats.stream().anyMatch(peer -> peer.replicaStaleness().compareTo(PLACING_VIEW) < 0);
    }

    private boolean fellQuiet(String owner) {
        return peerHeartbeats.isSuspected(owner);
    }

    private void tick() {
        pauseDetector.tick();
        partitionDetector.tick();
        wake();
        timeSource.schedule(ROUND_AT_LEAST_EVERY, this::tick);
    }

    private void sendHeartbeat() {
        if (replica.loaded()) {
            writeRateAllocator.adjust();
            peerHeartbeats.send(
                    replica.staleness(),
                    writeRateAllocator.need(),
                    peerHeartbeats.leaderListens() ? statusReporter.all() : List.of());
            peerHeartbeats.keepOnly(replica.machines().keySet());
            cancellationTracker.prune();
            crashLoopDetector.prune(replica.machines()::containsKey);
            workers.evictGone(replica.machines().keySet(), timeSource.now());
        }
        timeSource.schedule(HEARTBEAT_EVERY, this::sendHeartbeat);
    }

    /** Takes in another controller's heartbeat and answers it. */
    public ObjectNode heard(byte[] heartbeat) {
        return peerHeartbeats.receive(heartbeat, replica.staleness(), writeRateAllocator.need());
    }

    /** Asks for a round soon. A dear round is followed by a longer pause, so that answers to users and workers keep their turn. */
    private void wake() {
        if (roundSet) {
            return;
        }
        roundSet = true;
        Duration gap = Duration.ofNanos(lastCost.toNanos() * ROUND_SHARE);
        Duration next = lastRound
                .plus(gap.compareTo(ROUND_AT_MOST_EVERY) > 0 ? gap : ROUND_AT_MOST_EVERY)
                .minus(timeSource.now());
        timeSource.schedule(next.compareTo(Duration.ofMillis(2)) < 0 ? Duration.ofMillis(2) : next, () -> {
            roundSet = false;
            Duration begun = timeSource.now();
            lastRound = begun;
            pauseDetector.tick();
            try {
                round();
            } catch (RuntimeException e) {
                LOG.error("a decision round failed and is repeated", e);
            }
            // Planning has a pace of its own; what it costs must not keep commands to machines waiting.
            lastCost = timeSource.now().minus(begun).minus(lastPlan.compareTo(begun) > 0 ? planCost : Duration.ZERO);
            rounds.recordValue(Math.min(LONGEST_MICROS, lastCost.toNanos() / 1000));
        });
    }

    private void round() {
        if (formatUpgrade.tooNew()) {
            cannotGoOn.accept("what is stored has format version " + replica.formatVersion()
                    + "; this program reads up to " + formatUpgrade.newest());
            return;
        }
        // In every round, not only on the timer: after a crash of all controllers the workers' leases are about to end.
        membership.tick();
        if (!membership.leads()) {
            fleetManager.standDown(); // also when it leads again by the next plan: it did not watch meanwhile
        }
        if (!replica.loaded() || membership.incarnation() == 0) {
            return;
        }
        workerClient.pass();
        Duration now = timeSource.now();
        boolean look = now.minus(lastLook).compareTo(LOOK_EVERY) >= 0;
        if (look) {
            lastLook = now;
            terminationWriter.store(membership.leads() ? onGoneMachines() : List.of());
        }
        if (!membership.joined()) {
            return;
        }
        shardOwnership.tick(plan);
        if (replica.staleness().compareTo(PLACING_VIEW) > 0 || catalog.types().isEmpty()) {
            return; // an outage: what runs goes on, nothing new is placed
        }
        if (membership.leads()) {
            gangLifecycle.tick();
            formatUpgrade.tick();
            oversizeRecords.tick();
        }
        if (look) {
            gangLifecycle.drainNoticed();
        }
        if (planDue()) {
            plan();
        }
        loadReporter.tell();
    }

    /** Claims on machines that the cloud confirmed as gone, or that have no record any more, which comes later still. */
    private List<TaskTermination> onGoneMachines() {
        var terminations = new ArrayList<TaskTermination>();
        var hosts = new ArrayList<>(terminator.gone());
        replica.machinesWithAllocations().stream()
                .filter(h -> !replica.machines().containsKey(h) && !terminator.isGone(h))
                .forEach(hosts::add);
        for (String host : hosts) {
            for (PlacedTask placed : replica.allocationsOn(host)) {
                terminations.add(new TaskTermination(
                        placed.job().id(),
                        placed.allocation().task(),
                        placed.allocation().attemptBase(),
                        TerminationCause.GONE,
                        "its machine " + host + " is gone"));
            }
        }
        return terminations;
    }

    private boolean planDue() {
        Duration since = timeSource.now().minus(lastPlan);
        Duration gap = Duration.ofNanos(planCost.toNanos() * PLAN_SHARE);
        boolean may = since.compareTo(gap.compareTo(PLAN_AT_MOST_EVERY) > 0 ? gap : PLAN_AT_MOST_EVERY) >= 0;
        return may
                && (replica.version() + workerClient.version() != plannedFor
                        || since.compareTo(PLAN_AT_LEAST_EVERY) >= 0);
    }

    private void plan() {
        Duration begun = timeSource.now();
        plannedFor = replica.version() + workerClient.version();
        Plan before = plan;
        ClusterSnapshot snapshot = snapshotBuilder.now();
        plan = Planner.plan(snapshot);
        if (LOG.isDebugEnabled() && membership.leads()) {
            plan.reasons().forEach((job, why) -> {
                if (!why.equals(before.reasons().get(job))) {
                    LOG.debug("{} waits: {}", job, why);
                }
            });
        }
        pendingPreemptions.prune(replica);
        if (membership.leads()) {
            shardOwnership.borrow(plan);
        }
        jobDelegation.planned(snapshot, plan);
        placementWriter.evict(plan);
        placementWriter.move(plan);
        placementWriter.place(plan);
        fleetManager.tick(plan);
        lastPlan = timeSource.now();
        planCost = lastPlan.minus(begun);
        plans.recordValue(Math.min(LONGEST_MICROS, planCost.toNanos() / 1000));
    }

    /** What of the others' messages concerns other parts. */
    private final class PeerListener implements PeerHeartbeats.Listener {
        @Override
        public void imageSeen(String host, String image) {
            workers.getOrCreate(host).fetched(image); // what a machine has fetched outlives the change of its owner
        }

        @Override
        public void cancelled(String node, Duration asked, List<String> jobs) {
            workerClient.cancelledElsewhere(cancellationTracker.answered(node, asked, jobs));
        }
    }
}
