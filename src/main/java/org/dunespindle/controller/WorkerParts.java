package org.dunespindle.controller;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.ProposedTerminations;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.peer.WriteRateAllocator;
import org.dunespindle.protocol.Settings;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.worker.CancellationDeadlines;
import org.dunespindle.worker.CancellationTracker;
import org.dunespindle.worker.HeartbeatHandler;
import org.dunespindle.worker.PartitionDetector;
import org.dunespindle.worker.PendingPreemptions;
import org.dunespindle.worker.WorkerClient;

/** The components that communicate with workers and with the other controllers of the cell. */
final class WorkerParts {
    final CancellationTracker cancellationTracker;
    final CancellationDeadlines cancellationDeadlines;
    final PendingPreemptions pendingPreemptions = new PendingPreemptions();
    final ProposedTerminations proposedTerminations;
    final WorkerClient workerClient;
    final HeartbeatHandler heartbeatHandler;
    final PartitionDetector partitionDetector;
    final PeerHeartbeats peerHeartbeats;
    final WriteRateAllocator writeRateAllocator;

    WorkerParts(SharedParts shared, HttpClient httpClient, BooleanSupplier isPartitioned, Runnable requestRound) {
        Settings settings = shared.settings;
        ControllerContext context = shared.context;
        cancellationTracker = new CancellationTracker(settings, shared.replica, shared.timeSource);
        cancellationDeadlines = new CancellationDeadlines(context, cancellationTracker);
        proposedTerminations = new ProposedTerminations(shared.replica);
        workerClient = new WorkerClient(
                context,
                shared.machineWriter,
                httpClient,
                pendingPreemptions,
                cancellationTracker,
                proposedTerminations,
                requestRound);
        peerHeartbeats = new PeerHeartbeats(
                settings,
                httpClient,
                shared.timeSource,
                shared.membership::incarnation,
                shared.membership::leader,
                shared.replica,
                new PeerListener(shared.workers));
        heartbeatHandler = new HeartbeatHandler(
                context,
                shared.machineWriter,
                workerClient,
                cancellationTracker,
                isPartitioned,
                peerHeartbeats::isSuspected);
        writeRateAllocator = new WriteRateAllocator(
                settings, peerHeartbeats, shared.membership, shared.commitQueue, shared.stateStore, shared.timeSource);
        partitionDetector = new PartitionDetector(context, workerClient, peerHeartbeats);
    }

    /** Forwards the contents of other controllers' heartbeats to the components concerned. */
    private final class PeerListener implements PeerHeartbeats.Listener {
        private final WorkerRegistry workers;

        PeerListener(WorkerRegistry workers) {
            this.workers = workers;
        }

        @Override
        public void onImageCached(String machineId, String image) {
            // The record of fetched images must survive a change of the machine's owner.
            workers.getOrCreate(machineId).imageFetched(image);
        }

        @Override
        public void onJobsCancelled(String node, Duration askedAt, List<String> jobs) {
            workerClient.reconcileCancelledJobs(cancellationTracker.recordAnswer(node, askedAt, jobs));
        }
    }
}
