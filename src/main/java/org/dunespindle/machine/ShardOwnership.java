package org.dunespindle.machine;

import java.time.Duration;
import java.util.function.Supplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Options;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.worker.WorkerClient;

/**
 * Assigns machines to controllers. Machines are sharded by hash among the live controllers, and the leader acquires those that gangs
 * are placed on. Every change of owner costs writes and a call, so the leader keeps an acquired machine while gangs reuse it and releases
 * it only after a time without one.
 */
public final class ShardOwnership {
    private static final Duration OWNERSHIP_CHECK_INTERVAL = Duration.ofMillis(250);
    private static final Duration REBALANCE_INTERVAL = Duration.ofSeconds(5);

    private final ControllerContext context;
    private final GangPresence gangPresence;
    private final ShardFailover failover;
    private final ShardRebalancer rebalancer;
    private final GangMachineAcquirer gangMachineAcquirer;
    private Duration nextCheckAt = Duration.ZERO;
    private Duration nextRebalanceAt = Duration.ZERO;

    /** Creates the assignment; {@link #tick} and {@link #acquireForGangs} carry it out. */
    public ShardOwnership(
            ControllerContext context,
            WorkerClient workerClient,
            MachineRecordWriter machineWriter,
            PeerHeartbeats peerHeartbeats,
            Supplier<Options> options) {
        this.context = context;
        this.gangPresence = new GangPresence(context.replica());
        this.failover = new ShardFailover(context, workerClient, machineWriter, peerHeartbeats, gangPresence);
        this.rebalancer = new ShardRebalancer(context, machineWriter, peerHeartbeats, gangPresence, options);
        this.gangMachineAcquirer =
                new GangMachineAcquirer(context, workerClient, machineWriter, peerHeartbeats, gangPresence, options);
    }

    /** Takes over machines whose controller has failed, and releases machines that the hash assigns to another controller. */
    public void tick(Plan plan) {
        Duration now = context.timeSource().now();
        if (now.compareTo(nextCheckAt) < 0) {
            return;
        }
        nextCheckAt = now.plus(OWNERSHIP_CHECK_INTERVAL);
        boolean rebalanceDue = now.compareTo(nextRebalanceAt) >= 0;
        if (rebalanceDue) {
            nextRebalanceAt = now.plus(REBALANCE_INTERVAL);
            gangPresence.retainMachines(context.replica().machines().keySet());
        }
        failover.takeOverOrphans();
        checkOwnedMachines(plan, now, rebalanceDue);
    }

    private void checkOwnedMachines(Plan plan, Duration now, boolean rebalanceDue) {
        rebalancer.beginCheck();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (!context.membership().owns(machine)) {
                continue;
            }
            if (gangPresence.hasGang(machine) || plan.gangMachines().contains(machine.id())) {
                gangPresence.recordGang(machine.id(), now);
            } else if (rebalanceDue) {
                rebalancer.releaseToAssignedController(machine, now);
            }
        }
    }

    /** Acquires the machines that gangs are planned on and those that hold gangs' placeholders. Only the leader may call this. */
    public void acquireForGangs(Plan plan) {
        gangMachineAcquirer.acquireFor(plan);
    }
}
