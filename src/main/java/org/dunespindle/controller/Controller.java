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
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.api.UserApi;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.FormatUpgrade;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.control.OversizeRecordSplitter;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.job.GangLifecycle;
import org.dunespindle.job.TerminationWriter;
import org.dunespindle.job.PlacementPacing;
import org.dunespindle.job.PlacementWriter;
import org.dunespindle.machine.CloudClient;
import org.dunespindle.machine.CloudInventory;
import org.dunespindle.machine.CrashLoopDetector;
import org.dunespindle.machine.FleetManager;
import org.dunespindle.machine.MachineCatalog;
import org.dunespindle.machine.MachineStatusReporter;
import org.dunespindle.machine.MachineProvisioner;
import org.dunespindle.machine.MachineTerminator;
import org.dunespindle.machine.ShardOwnership;
import org.dunespindle.machine.Quarantine;
import org.dunespindle.peer.PeerState;
import org.dunespindle.peer.PeerHeartbeats;
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
import org.dunespindle.worker.PendingPreemptions;
import org.dunespindle.worker.WorkerClient;
import org.dunespindle.worker.PartitionDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: repeats rounds that compare what is wanted with what is and propose the difference.
 * Machines about which something changed are attended to at once; the whole is planned anew less often, and
 * the less often the dearer a plan is, so that answers to workers and users keep their turn.
 */
public final class Controller {
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
    private final TimeSource timeline;
    private final StateStoreClient state;
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue committer;
    private final WorkerRegistry sessions = new WorkerRegistry();
    private final PauseDetector stalls;
    private final PendingPreemptions preemptions = new PendingPreemptions();
    private final CancellationTracker cancellations;
    private final CrashLoopDetector failureAttribution;
    private final MachineRecordWriter machineWriter;
    private final WorkerClient workerClient;
    private final HeartbeatHandler heartbeatHandler;
    private final PeerHeartbeats peers;
    private final CloudClient cloud;
    private final MachineCatalog catalog;
    private final FleetManager fleet;
    private final MachineTerminator returner;
    private final MachineStatusReporter machineNews;
    private final ShardOwnership ownership;
    private final TerminationWriter outcomes;
    private final PlacementWriter placements;
    private final GangLifecycle gangs;
    private final UserApi userApi;
    private final EventRecorder decisions;
    private final WriteRateAllocator writeShare;
    private final SnapshotBuilder snapshots;
    private final LoadReporter loadLog;
    private final FormatUpgrade formatUpgrade;
    private final OversizeRecordSplitter oversizeRecords;
    private final Consumer<String> cannotGoOn;
    private final JobDelegation exchange;
    private Options options;
    private long optionsStamp;
    private final AdminApi admin;
    private final PartitionDetector connectivity;
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
            HttpClient http,
            TimeSource timeline,
            FormatSupport formats,
            Consumer<String> cannotGoOn,
            Function<DelegationContext, JobDelegation> connector) {
        this.cannotGoOn = cannotGoOn;
        this.settings = settings;
        this.timeline = timeline;
        this.stalls = new PauseDetector(timeline);
        this.decisions = new EventRecorder(timeline);
        this.options = Options.defaults(settings.workers().lease());
        var targets = new ServiceLevelObjectives(settings.objectives());
        this.state = new StateStoreClient(http, settings, timeline);
        this.replica = new StateReplica(state, timeline, SYNC_EVERY, this::wake);
        this.membership = new Membership(settings.nodeName(), formats.announced(), state, replica, timeline);
        this.committer = new CommitQueue(
                state, replica, timeline, settings.state().lowest().txnOps(), this::wake);
        var context = context();
        this.formatUpgrade = new FormatUpgrade(context, committer, formats);
        this.oversizeRecords = new OversizeRecordSplitter(context, committer, state);
        this.machineWriter = new MachineRecordWriter(replica, committer, timeline);
        this.failureAttribution = new CrashLoopDetector(replica::job);
        this.cancellations = new CancellationTracker(settings, replica, timeline);
        this.workerClient = new WorkerClient(context, machineWriter, http, preemptions, cancellations, this::wake);
        this.heartbeatHandler = new HeartbeatHandler(
                context, machineWriter, workerClient, cancellations, this::cutOff, this::fellQuiet, this::wake);
        this.peers = new PeerHeartbeats(
                settings, http, timeline, membership::incarnation, membership::leader, replica, new PeerListener());
        this.writeShare = new WriteRateAllocator(settings, peers, membership, committer, state, timeline);
        this.cloud = new CloudClient(http, settings, timeline);
        this.catalog = new MachineCatalog(cloud, timeline, this::wake);
        this.returner = new MachineTerminator(context, machineWriter, cloud);
        var renter = new MachineProvisioner(context, machineWriter, cloud, catalog, targets, returner::isGone);
        var inventory = new CloudInventory(context, machineWriter, cloud, renter, returner);
        var quarantine = new Quarantine(failureAttribution, peers, timeline, this::options);
        this.fleet = new FleetManager(
                context,
                machineWriter,
                workerClient,
                peers,
                quarantine,
                this::options,
                new FleetManager.Cloud(inventory, catalog, renter, returner));
        this.machineNews = new MachineStatusReporter(context, workerClient, quarantine, returner);
        this.ownership = new ShardOwnership(context, workerClient, machineWriter, peers, this::options);
        this.outcomes = new TerminationWriter(context, committer, workerClient, failureAttribution);
        this.placements = new PlacementWriter(
                context, committer, machineWriter, outcomes, preemptions, workerClient, machineNews::takesTasks);
        this.gangs = new GangLifecycle(context, committer, workerClient, this::options);
        this.snapshots = new SnapshotBuilder(context, planSources(context, renter), targets, this::options);
        this.loadLog = new LoadReporter(context, heartbeatHandler, workerClient, committer, state, rounds, plans);
        this.connectivity = new PartitionDetector(context, workerClient, peers);
        this.exchange = connector.apply(exchangeContext(context));
        this.admin =
                new AdminApi(context, committer, machineWriter, placements.teamAccounts(), this, exchange, latencies());
        this.userApi = new UserApi(context, state, committer, catalog::types, accepts, exchange);
    }

    private DelegationContext exchangeContext(ControllerContext context) {
        return new DelegationContext(
                settings,
                timeline,
                replica,
                context.jobWriter(),
                membership,
                committer,
                decisions,
                this::options,
                job -> catalog.types()
                        .map(types -> new DelegationContext.NeverVerdict(UserApi.whyNever(job, types, settings))),
                this::whyWaitsHere,
                () -> catalog.types().orElse(List.of()));
    }

    private SnapshotBuilder.Sources planSources(ControllerContext context, MachineProvisioner renter) {
        return new SnapshotBuilder.Sources(
                catalog,
                fleet,
                renter,
                returner,
                machineNews,
                peers,
                placements,
                outcomes,
                new PlacementPacing(context, committer),
                failureAttribution);
    }

    private ControllerContext context() {
        var jobWriter = new JobRecordWriter(replica, settings.state());
        return new ControllerContext(settings, timeline, replica, jobWriter, membership, sessions, decisions, stalls);
    }

    private Map<String, Histogram> latencies() {
        var byName = new TreeMap<String, Histogram>();
        byName.put("decisionRound", rounds);
        byName.put("plan", plans);
        byName.put("stateCall", state.latency());
        byName.put("cloudCall", cloud.latency());
        byName.put("holdPlacement", gangs.holdPlacement());
        byName.put("replacement", gangs.replacement());
        byName.put("accept", accepts);
        return byName;
    }

    /** The operators' settings as stored now. */
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
    public String whyWaits(JobRecord j) {
        return exchange.whyWaits(j).orElseGet(() -> whyWaitsHere(j));
    }

    private String whyWaitsHere(JobRecord j) {
        if (replica.staleness().compareTo(PLACING_VIEW) > 0) {
            return "the state service does not answer; nothing new is placed";
        }
        if (j.spec().isPresent() && j.submission().isGang() && j.gangPhase() == JobRecord.GangPhase.STOPPING) {
            return "its members are being stopped before it is placed again";
        }
        if (failureAttribution.isCrashLooping(j.id())) {
            return "its tasks have failed " + j.failures() + " times, on "
                    + failureAttribution.machinesOf(j.id()).size()
                    + " machines seen from here, and none ended well; one is tried at a time, with growing pauses";
        }
        if (j.isDelegatedAway()) {
            return "cell " + j.outboundDelegation().orElseThrow().cell() + " may hold it";
        }
        if (j.unplacedCount() == 0) {
            return "its placeholders fetch the image";
        }
        return plan.reasons()
                .getOrDefault(
                        j.id(),
                        j.submission().isGang() && !membership.leads()
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
        exchange.start();
        tick();
        sendHeartbeat();
    }

    /** Whether users' requests can be served here. In an outage that all share, staying in is better than all leaving. */
    public boolean healthy() {
        // Polls need no catalog, so a cloud that stays silent must not keep users out for good.
        boolean catalogAwaited = catalog.types().isEmpty() && timeline.now().compareTo(CATALOG_PATIENCE) < 0;
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
        List<PeerState> heartbeats = peers.livePeers();
        return heartbeats.isEmpty()
                ? !settings.seeds().isEmpty()
                : heartbeats.stream().anyMatch(w -> w.replicaStaleness().compareTo(PLACING_VIEW) < 0);
    }

    private boolean fellQuiet(String owner) {
        return peers.isSuspected(owner);
    }

    private void tick() {
        stalls.tick();
        connectivity.tick();
        wake();
        timeline.schedule(ROUND_AT_LEAST_EVERY, this::tick);
    }

    private void sendHeartbeat() {
        if (replica.loaded()) {
            writeShare.adjust();
            peers.send(replica.staleness(), writeShare.need(), peers.leaderListens() ? machineNews.all() : List.of());
            peers.keepOnly(replica.machines().keySet());
            cancellations.prune();
            failureAttribution.prune(replica.machines()::containsKey);
            sessions.evictGone(replica.machines().keySet(), timeline.now());
        }
        timeline.schedule(HEARTBEAT_EVERY, this::sendHeartbeat);
    }

    /** Takes in another controller's heartbeat and answers it. */
    public ObjectNode heard(byte[] heartbeat) {
        return peers.receive(heartbeat, replica.staleness(), writeShare.need());
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
                .minus(timeline.now());
        timeline.schedule(next.compareTo(Duration.ofMillis(2)) < 0 ? Duration.ofMillis(2) : next, () -> {
            roundSet = false;
            Duration begun = timeline.now();
            lastRound = begun;
            stalls.tick();
            try {
                round();
            } catch (RuntimeException e) {
                LOG.error("a decision round failed and is repeated", e);
            }
            // Planning has a pace of its own; what it costs must not keep commands to machines waiting.
            lastCost = timeline.now().minus(begun).minus(lastPlan.compareTo(begun) > 0 ? planCost : Duration.ZERO);
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
            fleet.standDown(); // also when it leads again by the next plan: it did not watch meanwhile
        }
        if (!replica.loaded() || membership.incarnation() == 0) {
            return;
        }
        workerClient.pass();
        Duration now = timeline.now();
        boolean look = now.minus(lastLook).compareTo(LOOK_EVERY) >= 0;
        if (look) {
            lastLook = now;
            outcomes.store(membership.leads() ? onGoneMachines() : List.of());
        }
        if (!membership.joined()) {
            return;
        }
        ownership.tick(plan);
        if (replica.staleness().compareTo(PLACING_VIEW) > 0 || catalog.types().isEmpty()) {
            return; // an outage: what runs goes on, nothing new is placed
        }
        if (membership.leads()) {
            gangs.tick();
            formatUpgrade.tick();
            oversizeRecords.tick();
        }
        if (look) {
            gangs.drainNoticed();
        }
        if (planDue()) {
            plan();
        }
        loadLog.tell();
    }

    /** Claims on machines that the cloud confirmed as gone, or that have no record any more, which comes later still. */
    private List<TaskTermination> onGoneMachines() {
        var events = new ArrayList<TaskTermination>();
        var hosts = new ArrayList<>(returner.gone());
        replica.machinesWithAllocations().stream()
                .filter(h -> !replica.machines().containsKey(h) && !returner.isGone(h))
                .forEach(hosts::add);
        for (String host : hosts) {
            for (PlacedTask p : replica.allocationsOn(host)) {
                events.add(new TaskTermination(
                        p.job().id(),
                        p.allocation().task(),
                        p.allocation().attemptBase(),
                        TerminationCause.GONE,
                        "its machine " + host + " is gone"));
            }
        }
        return events;
    }

    private boolean planDue() {
        Duration since = timeline.now().minus(lastPlan);
        Duration gap = Duration.ofNanos(planCost.toNanos() * PLAN_SHARE);
        boolean may = since.compareTo(gap.compareTo(PLAN_AT_MOST_EVERY) > 0 ? gap : PLAN_AT_MOST_EVERY) >= 0;
        return may
                && (replica.version() + workerClient.version() != plannedFor
                        || since.compareTo(PLAN_AT_LEAST_EVERY) >= 0);
    }

    private void plan() {
        Duration begun = timeline.now();
        plannedFor = replica.version() + workerClient.version();
        Plan before = plan;
        ClusterSnapshot snapshot = snapshots.now();
        plan = Planner.plan(snapshot);
        if (LOG.isDebugEnabled() && membership.leads()) {
            plan.reasons().forEach((job, why) -> {
                if (!why.equals(before.reasons().get(job))) {
                    LOG.debug("{} waits: {}", job, why);
                }
            });
        }
        preemptions.prune(replica);
        if (membership.leads()) {
            ownership.borrow(plan);
        }
        exchange.planned(snapshot, plan);
        placements.evict(plan);
        placements.move(plan);
        placements.place(plan);
        fleet.tick(plan);
        lastPlan = timeline.now();
        planCost = lastPlan.minus(begun);
        plans.recordValue(Math.min(LONGEST_MICROS, planCost.toNanos() / 1000));
    }

    /** What of the others' messages concerns other parts. */
    private final class PeerListener implements PeerHeartbeats.Listener {
        @Override
        public void imageSeen(String host, String image) {
            sessions.getOrCreate(host).fetched(image); // what a machine has fetched outlives the change of its owner
        }

        @Override
        public void cancelled(String node, Duration asked, List<String> jobs) {
            workerClient.cancelledElsewhere(cancellations.answered(node, asked, jobs));
        }
    }
}
