package org.dunespindle.machine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Options;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.worker.FailureDetector;
import org.dunespindle.worker.WorkerClient;

/** Manages the fleet on the leader: rents, evaluates and terminates machines and removes their records. */
public final class FleetManager {
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(900);
    /** A controller that has just started has not received heartbeats yet, so it treats no machine as late to boot for this time. */
    private static final Duration STARTUP_GRACE = Duration.ofSeconds(15);

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final FailureDetector failureDetector;
    private final Quarantine quarantine;
    private final CloudInventory inventory;
    private final MachineProvisioner provisioner;
    private final MachineTerminator terminator;
    private final BootDeadlines bootDeadlines;
    private final MachineEvaluator evaluator;
    private final FleetSizeReporter sizeReporter;
    private Optional<Duration> leadingSince = Optional.empty();
    private Duration nextEvaluationAt = Duration.ZERO;

    /** The services through which the leader uses the cloud. */
    public record CloudServices(
            CloudInventory inventory,
            MachineCatalog catalog,
            MachineProvisioner provisioner,
            MachineTerminator terminator) {}

    /** Creates the manager; it acts only when called. */
    public FleetManager(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            WorkerClient workerClient,
            FailureDetector failureDetector,
            Quarantine quarantine,
            Supplier<Options> options,
            CloudServices cloud) {
        this.context = context;
        this.machineWriter = machineWriter;
        this.quarantine = quarantine;
        this.inventory = cloud.inventory;
        this.provisioner = cloud.provisioner;
        this.terminator = cloud.terminator;
        this.failureDetector = failureDetector;
        this.bootDeadlines = new BootDeadlines(context, cloud.catalog);
        this.evaluator = new MachineEvaluator(
                context, workerClient, failureDetector, quarantine, inventory, bootDeadlines, options);
        this.sizeReporter = new FleetSizeReporter(context.replica(), cloud.catalog, this::isBooting);
    }

    /** Whether a machine without a heartbeat so far is still expected to boot, so that work may be planned on it. */
    public boolean isExpectedToBoot(MachineRecord machine) {
        return context.timeSource().now().compareTo(STARTUP_GRACE) < 0 || bootDeadlines.isWithinBootTime(machine);
    }

    /** Whether no controller has received a heartbeat of a machine since it was rented. */
    public boolean isBooting(MachineRecord machine) {
        return failureDetector.lastSeen(machine).isEmpty();
    }

    /** Runs the management that is due. Called with every plan on every controller; only the leader acts. */
    public void tick(Plan plan) {
        Duration now = context.timeSource().now();
        if (!context.membership().isLeader()) {
            discardLeaderState();
            return;
        }
        if (leadingSince.isEmpty()) {
            leadingSince = Optional.of(now);
            inventory.onLeadershipAcquired();
        }
        terminator.prune();
        inventory.tick();
        if (now.compareTo(nextEvaluationAt) >= 0) {
            nextEvaluationAt = now.plus(EVALUATION_INTERVAL);
            sizeReporter.tick(now);
            removeTerminatedMachines();
            evaluateAll(now, leadingSince.get(), plan);
            terminator.terminateDue();
        }
        provisioner.rent(plan);
    }

    /** Discards the leader's observations, which are not valid in a later term. Called while this controller is not the leader. */
    public void discardLeaderState() {
        if (leadingSince.isPresent()) {
            leadingSince = Optional.empty();
            provisioner.onLeadershipLost();
            inventory.onLeadershipLost();
            evaluator.clear();
            quarantine.clear();
            failureDetector.reset();
            terminator.onLeadershipLost();
        }
    }

    /** Removes the records of terminated machines that have no allocations left. */
    private void removeTerminatedMachines() {
        for (MachineRecord machine : List.copyOf(context.replica().machines().values())) {
            if (terminator.isTerminated(machine.id())
                    && context.replica().allocationsOn(machine.id()).isEmpty()
                    && !machineWriter.hasPendingChange(machine.id())
                    && !machineWriter.isBacklogged()) {
                machineWriter.remove(machine.id(), result -> {
                    if (result instanceof TransactionResult.Applied) {
                        forget(machine.id());
                    }
                });
            }
        }
    }

    private void forget(String machineId) {
        evaluator.forget(machineId);
        quarantine.forget(machineId);
        failureDetector.forget(machineId);
        terminator.forget(machineId);
    }

    private void evaluateAll(Duration now, Duration leadingSince, Plan plan) {
        failureDetector.updateOutages(leadingSince, bootDeadlines::isPastBootTime);
        for (MachineRecord machine : List.copyOf(context.replica().machines().values())) {
            if (terminator.isWaitingForTasks(machine)) {
                evaluator.evaluateLoss(machine, now, leadingSince).ifPresent(reason -> retire(machine, reason));
            } else if (!terminator.isTerminating(machine) && !machineWriter.hasPendingChange(machine.id())) {
                evaluator.evaluate(machine, plan, now, leadingSince).ifPresent(reason -> retire(machine, reason));
            }
        }
    }

    private void retire(MachineRecord machine, DrainReason reason) {
        switch (reason.procedure()) {
            case DRAIN_UNLESS_COMMITS_QUEUE -> {
                if (!machineWriter.isBacklogged()) {
                    terminator.drain(machine, reason);
                }
            }
            case DRAIN -> terminator.drain(machine, reason);
            case TERMINATE -> terminator.terminateWithoutDrain(machine, reason);
        }
    }
}
