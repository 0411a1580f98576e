package org.dunespindle.controller;

import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.job.GangLifecycle;
import org.dunespindle.job.InterruptionNoticeDrainer;
import org.dunespindle.job.PlacementPacing;
import org.dunespindle.job.PlacementWriter;
import org.dunespindle.job.TaskPreemptor;
import org.dunespindle.job.TerminationWriter;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.worker.WorkerClient;

/** The components that build snapshots and execute plans: placements, preemptions, terminations and the gang lifecycle. */
final class JobParts {
    final TerminationWriter terminationWriter;
    final PlacementWriter placementWriter;
    final TaskPreemptor taskPreemptor;
    final GangLifecycle gangLifecycle;
    final InterruptionNoticeDrainer interruptionNoticeDrainer;
    final SnapshotBuilder snapshotBuilder;

    JobParts(SharedParts shared, WorkerParts workers, MachineParts machines, ServiceLevelObjectives objectives) {
        ControllerContext context = shared.context;
        CommitQueue commitQueue = shared.commitQueue;
        WorkerClient workerClient = workers.workerClient;
        terminationWriter = new TerminationWriter(
                context, commitQueue, workerClient, workers.proposedTerminations, machines.crashLoopDetector);
        placementWriter = new PlacementWriter(
                context,
                commitQueue,
                shared.machineWriter,
                terminationWriter,
                workers.pendingPreemptions,
                machines.statusReporter::isSchedulable);
        taskPreemptor = new TaskPreemptor(context, workers.pendingPreemptions, workerClient);
        gangLifecycle = new GangLifecycle(context, commitQueue, workerClient, shared.options);
        interruptionNoticeDrainer = new InterruptionNoticeDrainer(context, commitQueue, workerClient);
        var sources = new SnapshotBuilder.Sources(
                machines.catalog,
                machines.fleetManager,
                machines.provisioner,
                machines.terminator,
                machines.statusReporter,
                workers.peerHeartbeats,
                placementWriter,
                terminationWriter,
                new PlacementPacing(context, commitQueue),
                machines.crashLoopDetector);
        snapshotBuilder = new SnapshotBuilder(context, sources, objectives, shared.options);
    }
}
