package org.dunespindle.worker;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;

/**
 * Receives workers' heartbeats: records them and decides whether this controller may renew the lease, and to which controller the
 * worker is redirected otherwise. {@link MachineReconciler} derives the commands and terminations.
 */
public final class HeartbeatHandler {
    private static final HeartbeatReply STATE_UNKNOWN = new HeartbeatReply.Unavailable(
            "this controller has not joined yet, or its replica of the stored state is too old");
    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final BooleanSupplier isPartitioned;
    private final LeaseRenewal leaseRenewal;
    private final OrphanedLeaseResponder orphanedLeaseResponder;
    private final PartitionedResponder partitionedResponder;
    private final UnregisteredMachineResponder unregisteredMachineResponder;
    private final OwnedMachineResponder ownedMachineResponder;
    private final RedirectResponder redirectResponder;
    private long heartbeatCount;

    /**
     * Creates a handler.
     *
     * @param isPartitioned whether this controller is partitioned from the state service, as opposed to an outage of the service
     * @param isSuspectedController whether a controller of that name is suspected to have failed
     */
    public HeartbeatHandler(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            WorkerClient workerClient,
            CancellationTracker cancellationTracker,
            BooleanSupplier isPartitioned,
            Predicate<String> isSuspectedController) {
        this.context = context;
        this.workerClient = workerClient;
        this.isPartitioned = isPartitioned;
        this.leaseRenewal = new LeaseRenewal(context, cancellationTracker, workerClient.allocations());
        this.orphanedLeaseResponder = new OrphanedLeaseResponder(context, leaseRenewal);
        this.partitionedResponder = new PartitionedResponder(context, leaseRenewal);
        this.unregisteredMachineResponder =
                new UnregisteredMachineResponder(context, machineWriter, workerClient.inspector());
        this.ownedMachineResponder = new OwnedMachineResponder(workerClient, leaseRenewal);
        this.redirectResponder =
                new RedirectResponder(context, machineWriter, workerClient, leaseRenewal, isSuspectedController);
    }

    /** The number of heartbeats received so far. */
    public long heartbeatCount() {
        return heartbeatCount;
    }

    /**
     * Receives a heartbeat.
     *
     * @param replyTo receives the reply, immediately or after an inspection of the worker or a transaction
     */
    public void onHeartbeat(WorkerHeartbeat heartbeat, Consumer<HeartbeatReply> replyTo) {
        heartbeatCount++;
        ReceivedHeartbeat received = record(heartbeat);
        Optional<MachineRecord> machine =
                Optional.ofNullable(context.replica().machines().get(heartbeat.machineId()));
        boolean replicaLoaded = context.replica().isLoaded();
        Optional<HeartbeatReply> orphanReply =
                replicaLoaded ? orphanedLeaseResponder.reply(received, machine) : Optional.empty();
        if (orphanReply.isPresent()) {
            replyTo.accept(orphanReply.get());
        } else if (!replicaLoaded || context.membership().incarnation() == 0 || !leaseRenewal.isAllowed()) {
            replyTo.accept(STATE_UNKNOWN);
        } else {
            retryCommandsSoon(received);
            replyByCase(received, machine, replyTo);
        }
    }

    private ReceivedHeartbeat record(WorkerHeartbeat heartbeat) {
        WorkerState worker = context.workers().getOrCreate(heartbeat.machineId());
        boolean wasSuspected = workerClient.reachability().isSuspected(worker);
        boolean newer = workerClient.statusRecorder().recordHeartbeat(heartbeat, worker);
        if (newer && wasSuspected && worker.commandsUnconfirmedSince().isPresent()) {
            // The partition has ended, or the worker has just found this controller: commands that failed before may
            // succeed now.
            worker.commandRetryDue(context.timeSource().now());
            workerClient.reconciliationQueue().addAndWake(heartbeat.machineId());
        }
        return new ReceivedHeartbeat(heartbeat, worker, newer);
    }

    /** Shortens the retry delay when a heartbeat arrives from a worker that left commands unanswered. */
    private void retryCommandsSoon(ReceivedHeartbeat received) {
        Duration now = context.timeSource().now();
        WorkerState worker = received.worker();
        if (received.newer() && worker.commandsUnconfirmedSince().isPresent() && worker.callDelayed(now)) {
            worker.nextCallNotBefore(now.plus(WorkerCommandSender.RETRY_DELAY_AFTER_REFUSAL));
            workerClient.scheduleReconciliation(received.machineId());
        }
    }

    private void replyByCase(
            ReceivedHeartbeat received, Optional<MachineRecord> machine, Consumer<HeartbeatReply> replyTo) {
        if (isPartitioned.getAsBoolean()) {
            replyTo.accept(partitionedResponder.reply(received, machine));
        } else if (machine.isEmpty()) {
            unregisteredMachineResponder.reply(received, replyTo);
        } else if (context.membership().owns(machine.get())) {
            replyTo.accept(ownedMachineResponder.reply(received, machine.get()));
            if (received.newer() && received.hasTokenOf(machine.get())) {
                received.worker().leaseRenewed(context.timeSource().now());
            }
        } else {
            redirectResponder.reply(received, machine.get(), replyTo);
        }
    }
}
