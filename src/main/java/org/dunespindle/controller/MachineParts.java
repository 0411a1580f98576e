package org.dunespindle.controller;

import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.machine.CancellationEnforcer;
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
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.worker.FailureDetector;

/** The components that manage the cell's machine fleet and this controller's shard of it. */
final class MachineParts {
    final CrashLoopDetector crashLoopDetector;
    final CloudClient cloud;
    final MachineCatalog catalog;
    final MachineTerminator terminator;
    final MachineProvisioner provisioner;
    final FleetManager fleetManager;
    final CancellationEnforcer cancellationEnforcer;
    final MachineStatusReporter statusReporter;
    final ShardOwnership shardOwnership;

    MachineParts(
            SharedParts shared,
            WorkerParts workers,
            HttpClient httpClient,
            ServiceLevelObjectives objectives,
            Runnable requestRound) {
        ControllerContext context = shared.context;
        MachineRecordWriter machineWriter = shared.machineWriter;
        crashLoopDetector = new CrashLoopDetector(shared.replica::activeJob);
        cloud = new CloudClient(httpClient, shared.settings, shared.timeSource);
        catalog = new MachineCatalog(cloud, shared.timeSource, requestRound);
        terminator = new MachineTerminator(context, machineWriter, cloud);
        provisioner =
                new MachineProvisioner(context, machineWriter, cloud, catalog, objectives, terminator::isTerminated);
        var inventory = new CloudInventory(context, machineWriter, cloud, provisioner, terminator);
        var quarantine = new Quarantine(crashLoopDetector, workers.peerHeartbeats, shared.timeSource, shared.options);
        var failureDetector =
                new FailureDetector(context, workers.workerClient, workers.peerHeartbeats, inventory::address);
        cancellationEnforcer = new CancellationEnforcer(
                context, workers.cancellationDeadlines, failureDetector, workers.peerHeartbeats, terminator);
        fleetManager = new FleetManager(
                context,
                machineWriter,
                workers.workerClient,
                failureDetector,
                quarantine,
                shared.options,
                new FleetManager.CloudServices(inventory, catalog, provisioner, terminator));
        statusReporter = new MachineStatusReporter(context, workers.workerClient, quarantine, terminator);
        shardOwnership = new ShardOwnership(
                context, workers.workerClient, machineWriter, workers.peerHeartbeats, shared.options);
    }
}
