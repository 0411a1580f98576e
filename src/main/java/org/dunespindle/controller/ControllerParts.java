package org.dunespindle.controller;

import java.time.Duration;
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
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.job.GangLifecycle;
import org.dunespindle.job.NoticedMachineDrainer;
import org.dunespindle.job.PlacementPacing;
import org.dunespindle.job.PlacementWriter;
import org.dunespindle.job.TaskPreemptor;
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
import org.dunespindle.peer.WriteRateAllocator;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.worker.CancellationTracker;
import org.dunespindle.worker.HeartbeatHandler;
import org.dunespindle.worker.PartitionDetector;
import org.dunespindle.worker.PendingPreemptions;
import org.dunespindle.worker.WorkerClient;

/**
 * The parts of one controller and how they are wired together. Nothing happens before the controller is started. All of
 * them run on one event loop.
 */
final class ControllerParts implements ControllerStatus {
    private static final Duration REPLICA_SYNC_INTERVAL = Duration.ofMillis(300);

    final Settings settings;
    final TimeSource timeSource;
    final StoredOptions options;
    final Histogram planTimes = LatencyHistograms.create();
    private final Histogram acceptTimes = LatencyHistograms.create();

    // Shared state: the replica of the state store, membership, the queue of changes, what is known of workers.
    final StateStoreClient stateStore;
    final StateReplica replica;
    final Membership membership;
    final CommitQueue commitQueue;
    final WorkerRegistry workers = new WorkerRegistry();
    final FormatUpgrade formatUpgrade;
    final OversizeRecordSplitter oversizeRecordSplitter;
    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;

    // Other controllers.
    final PeerHeartbeats peerHeartbeats;
    final WriteRateAllocator writeRateAllocator;

    // Workers.
    final PauseDetector pauseDetector;
    final CancellationTracker cancellationTracker;
    final PendingPreemptions pendingPreemptions = new PendingPreemptions();
    final WorkerClient workerClient;
    final HeartbeatHandler heartbeatHandler;
    final PartitionDetector partitionDetector;

    // Machines.
    final CrashLoopDetector crashLoopDetector;
    final MachineCatalog catalog;
    final MachineTerminator terminator;
    final FleetManager fleetManager;
    final MachineStatusReporter statusReporter;
    final ShardOwnership shardOwnership;
    private final CloudClient cloud;
    private final MachineProvisioner provisioner;

    // Jobs.
    final TerminationWriter terminationWriter;
    final PlacementWriter placementWriter;
    final TaskPreemptor taskPreemptor;
    final GangLifecycle gangLifecycle;
    final NoticedMachineDrainer noticedMachineDrainer;
    final SnapshotBuilder snapshotBuilder;

    // Interfaces and the main loop.
    final RoundScheduler roundScheduler;
    final DecisionLoop decisionLoop;
    final ControllerHealth health;
    final WaitExplainer waitExplainer;
    final LoadReporter loadReporter;
    final JobDelegation jobDelegation;
    final AdminApi adminApi;
    final UserApi userApi;

    /**
     * Wires the parts together.
     *
     * @param formats the versions of the stored forms that are announced and understood
     * @param terminate called, with a reason for operators, when this controller must end
     * @param connector links the controller to other cells
     */
    ControllerParts(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            FormatSupport formats,
            Consumer<String> terminate,
            Function<DelegationContext, JobDelegation> connector) {
        this.settings = settings;
        this.timeSource = timeSource;
        pauseDetector = new PauseDetector(timeSource);
        roundScheduler = new RoundScheduler(timeSource, pauseDetector);
        Runnable requestRound = roundScheduler::requestRound;
        var objectives = new ServiceLevelObjectives(settings.objectives());

        stateStore = new StateStoreClient(httpClient, settings, timeSource);
        replica = new StateReplica(stateStore, timeSource, REPLICA_SYNC_INTERVAL, requestRound);
        options = new StoredOptions(replica, settings.workers().lease());
        membership = new Membership(settings.nodeName(), formats.announced(), stateStore, replica, timeSource);
        commitQueue = new CommitQueue(
                stateStore, replica, timeSource, settings.state().lowest().txnOps(), requestRound);
        context = new ControllerContext(
                settings,
                timeSource,
                replica,
                new JobRecordWriter(replica, settings.state()),
                membership,
                workers,
                new EventRecorder(timeSource),
                pauseDetector);
        formatUpgrade = new FormatUpgrade(context, commitQueue, formats);
        oversizeRecordSplitter = new OversizeRecordSplitter(context, commitQueue, stateStore);
        machineWriter = new MachineRecordWriter(replica, commitQueue, timeSource);
        health = new ControllerHealth(this);

        crashLoopDetector = new CrashLoopDetector(replica::job);
        cancellationTracker = new CancellationTracker(settings, replica, timeSource);
        workerClient = new WorkerClient(
                context, machineWriter, httpClient, pendingPreemptions, cancellationTracker, requestRound);
        peerHeartbeats = new PeerHeartbeats(
                settings,
                httpClient,
                timeSource,
                membership::incarnation,
                membership::leader,
                replica,
                new PeerListener());
        heartbeatHandler = new HeartbeatHandler(
                context,
                machineWriter,
                workerClient,
                cancellationTracker,
                health::isPartitioned,
                peerHeartbeats::isSuspected);
        writeRateAllocator =
                new WriteRateAllocator(settings, peerHeartbeats, membership, commitQueue, stateStore, timeSource);
        partitionDetector = new PartitionDetector(context, workerClient, peerHeartbeats);

        cloud = new CloudClient(httpClient, settings, timeSource);
        catalog = new MachineCatalog(cloud, timeSource, requestRound);
        terminator = new MachineTerminator(context, machineWriter, cloud);
        provisioner = new MachineProvisioner(context, machineWriter, cloud, catalog, objectives, terminator::isGone);
        var inventory = new CloudInventory(context, machineWriter, cloud, provisioner, terminator);
        var quarantine = new Quarantine(crashLoopDetector, peerHeartbeats, timeSource, options);
        fleetManager = new FleetManager(
                context,
                machineWriter,
                workerClient,
                peerHeartbeats,
                quarantine,
                options,
                new FleetManager.Cloud(inventory, catalog, provisioner, terminator));
        statusReporter = new MachineStatusReporter(context, workerClient, quarantine, terminator);
        shardOwnership = new ShardOwnership(context, workerClient, machineWriter, peerHeartbeats, options);

        terminationWriter = new TerminationWriter(context, commitQueue, workerClient, crashLoopDetector);
        placementWriter = new PlacementWriter(
                context, commitQueue, machineWriter, terminationWriter, pendingPreemptions, statusReporter::takesTasks);
        taskPreemptor = new TaskPreemptor(context, pendingPreemptions, workerClient);
        gangLifecycle = new GangLifecycle(context, commitQueue, workerClient, options);
        noticedMachineDrainer = new NoticedMachineDrainer(context, commitQueue, workerClient);
        snapshotBuilder = new SnapshotBuilder(context, snapshotSources(), objectives, options);

        decisionLoop = new DecisionLoop(this, terminate);
        roundScheduler.setRound(decisionLoop);
        waitExplainer = new WaitExplainer(this, decisionLoop::lastPlan);
        loadReporter = new LoadReporter(
                context,
                heartbeatHandler,
                workerClient,
                commitQueue,
                stateStore,
                roundScheduler.roundTimes(),
                planTimes);
        jobDelegation = connector.apply(delegationContext());
        adminApi = new AdminApi(
                context, commitQueue, machineWriter, placementWriter.teamAccounts(), this, jobDelegation, latencies());
        userApi = new UserApi(context, stateStore, commitQueue, catalog::types, acceptTimes, jobDelegation);
    }

    @Override
    public Options options() {
        return options.get();
    }

    @Override
    public String whyWaits(JobRecord job) {
        return jobDelegation.whyWaits(job).orElseGet(() -> waitExplainer.explain(job));
    }

    private SnapshotBuilder.Sources snapshotSources() {
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

    private DelegationContext delegationContext() {
        return new DelegationContext(
                settings,
                timeSource,
                replica,
                context.jobWriter(),
                membership,
                commitQueue,
                context.eventRecorder(),
                options,
                job -> catalog.types()
                        .map(types -> new DelegationContext.NeverVerdict(
                                SubmissionFeasibility.whyNever(job, types, settings))),
                waitExplainer::explain,
                () -> catalog.types().orElse(List.of()));
    }

    private Map<String, Histogram> latencies() {
        var byName = new TreeMap<String, Histogram>();
        byName.put("decisionRound", roundScheduler.roundTimes());
        byName.put("plan", planTimes);
        byName.put("stateCall", stateStore.latency());
        byName.put("cloudCall", cloud.latency());
        byName.put("holdPlacement", gangLifecycle.holdPlacement());
        byName.put("replacement", gangLifecycle.replacement());
        byName.put("accept", acceptTimes);
        return byName;
    }

    /** Passes on what the other controllers' heartbeats tell that concerns other parts. */
    private final class PeerListener implements PeerHeartbeats.Listener {
        @Override
        public void imageSeen(String machineId, String image) {
            // The images that a machine has fetched outlive a change of its owner.
            workers.getOrCreate(machineId).fetched(image);
        }

        @Override
        public void cancelled(String node, Duration askedAt, List<String> jobs) {
            workerClient.cancelledElsewhere(cancellationTracker.answered(node, askedAt, jobs));
        }
    }
}
