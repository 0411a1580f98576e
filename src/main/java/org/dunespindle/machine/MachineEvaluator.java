package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.Options;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;
import org.dunespindle.worker.FailureDetector;
import org.dunespindle.worker.WorkerClient;

/** Decides on the leader whether a machine is to be drained or terminated, and for which reason. */
final class MachineEvaluator {
    /** Added to the heartbeat timeout as the time that a new leader waits before it evaluates machines without any heartbeat. */
    private static final Duration LEADER_WARM_UP = Duration.ofSeconds(15);
    /** Added to the heartbeat timeout of machines without any heartbeat that the cloud lists as running. */
    private static final Duration EXTRA_TIMEOUT_WHILE_RUNNING = Duration.ofSeconds(20);
    /** Tenths of the heartbeat timeout that apply to machines that hold service replicas. */
    private static final int REPLICA_TIMEOUT_TENTHS = 6;
    /** This many consecutive heartbeats may be missed by chance. */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final FailureDetector failureDetector;
    private final Quarantine quarantine;
    private final CloudInventory inventory;
    private final BootDeadlines bootDeadlines;
    private final IdleTracker idleTracker;
    private final Supplier<Options> options;
    /** By machine that has sent no heartbeat yet, when this leader first evaluated it. */
    private final Map<String, Duration> withoutHeartbeatSince = new HashMap<>();

    MachineEvaluator(
            ControllerContext context,
            WorkerClient workerClient,
            FailureDetector failureDetector,
            Quarantine quarantine,
            CloudInventory inventory,
            BootDeadlines bootDeadlines,
            Supplier<Options> options) {
        this.context = context;
        this.workerClient = workerClient;
        this.failureDetector = failureDetector;
        this.quarantine = quarantine;
        this.inventory = inventory;
        this.bootDeadlines = bootDeadlines;
        this.idleTracker = new IdleTracker(context.replica(), options);
        this.options = options;
    }

    /**
     * Returns why a machine is to be drained or terminated; empty if it is to be kept.
     *
     * @param plan the latest plan; a machine that it needs is not idle
     * @param leadingSince when this controller became the leader
     */
    Optional<DrainReason> evaluate(MachineRecord machine, Plan plan, Duration now, Duration leadingSince) {
        idleTracker.observe(machine, plan, now);
        if (quarantine.isTerminationDue(machine) && !isListedAsFailed(machine)) {
            return Optional.of(DrainReason.FAILS_TASKS);
        }
        Optional<DrainReason> loss = evaluateLoss(machine, now, leadingSince);
        if (loss.isPresent()) {
            return loss;
        }
        boolean seen = failureDetector.lastSeen(machine).isPresent();
        return seen && idleTracker.isIdleTooLong(machine, now) ? Optional.of(DrainReason.IDLE) : Optional.empty();
    }

    private boolean isListedAsFailed(MachineRecord machine) {
        return inventory.find(machine.id()).filter(ListedMachine::failed).isPresent();
    }

    /** Returns why a machine counts as lost, so that it is terminated without waiting for its tasks; empty if it doesn't. */
    Optional<DrainReason> evaluateLoss(MachineRecord machine, Duration now, Duration leadingSince) {
        if (isListedAsFailed(machine)) {
            return Optional.of(DrainReason.FAILED);
        }
        if (failureDetector.lastSeen(machine).isEmpty()) {
            return evaluateWithoutHeartbeat(machine, now, leadingSince);
        }
        Duration heartbeatAge = failureDetector.timeSinceLastSeen(machine, leadingSince);
        if (failureDetector.hasFailed(machine, heartbeatAge, heartbeatTimeout(machine))) {
            return Optional.of(DrainReason.noHeartbeatFor(heartbeatAge));
        }
        if (isUnreachableForCommands(machine, leadingSince)) {
            return Optional.of(DrainReason.UNREACHABLE_FOR_COMMANDS);
        }
        return Optional.empty();
    }

    /** Evaluates a machine from which no controller has received a heartbeat since it was rented. */
    private Optional<DrainReason> evaluateWithoutHeartbeat(MachineRecord machine, Duration now, Duration leadingSince) {
        Duration heartbeatTimeout = options.get().failureTimeout();
        Duration leadingFor = context.pauseDetector().observedTimeSince(leadingSince);
        Duration withoutHeartbeatFor = now.minus(withoutHeartbeatSince.computeIfAbsent(machine.id(), id -> now));
        if (leadingFor.compareTo(heartbeatTimeout.plus(LEADER_WARM_UP)) <= 0
                || failureDetector.isLikelyPartitioned(machine, leadingFor)) {
            return Optional.empty();
        }
        boolean runningWithoutHeartbeat = inventory
                        .find(machine.id())
                        .filter(row -> row.phase().equals("running"))
                        .isPresent()
                && withoutHeartbeatFor.compareTo(heartbeatTimeout.plus(EXTRA_TIMEOUT_WHILE_RUNNING)) > 0;
        boolean bootTimedOut = bootDeadlines.exceeds(machine, options.get().bootTimeoutMultiple());
        if ((!runningWithoutHeartbeat && !bootTimedOut) || failureDetector.mayBeAlive(machine)) {
            return Optional.empty();
        }
        return Optional.of(
                runningWithoutHeartbeat ? DrainReason.RUNNING_WITHOUT_HEARTBEAT : DrainReason.BOOT_TIMED_OUT);
    }

    private boolean isUnreachableForCommands(MachineRecord machine, Duration leadingSince) {
        Duration heartbeatTimeout = options.get().failureTimeout();
        return context.membership().owns(machine)
                && sendsHeartbeatsHere(machine)
                && context.pauseDetector().observedTimeSince(leadingSince).compareTo(heartbeatTimeout) > 0
                && workerClient
                        .commandsBlockedFor(machine.id())
                        .filter(duration -> duration.compareTo(heartbeatTimeout) > 0)
                        .isPresent();
    }

    /**
     * Whether this controller receives heartbeats of a machine. A report of an earlier owner that was partitioned together with the machine
     * doesn't count: it may arrive before the machine's first heartbeat, from which the time for commands counts anew.
     */
    private boolean sendsHeartbeatsHere(MachineRecord machine) {
        Duration maxAge = Durations.multiply(context.settings().workers().heartbeatInterval(), 2);
        return context.workers()
                .find(machine.id())
                .flatMap(WorkerState::lastHeartbeatAt)
                .filter(at -> context.pauseDetector().observedTimeSince(at).compareTo(maxAge) < 0)
                .isPresent();
    }

    /**
     * The time without a heartbeat after which a machine may be declared failed. Users notice the loss of service replicas at once, so
     * machines that hold some are probed and terminated sooner, but not because of a few late heartbeats.
     */
    private Duration heartbeatTimeout(MachineRecord machine) {
        Duration limit = options.get().failureTimeout();
        if (!holdsReplicas(machine)) {
            return limit;
        }
        Duration shorter = Durations.fraction(limit, REPLICA_TIMEOUT_TENTHS, 10);
        Duration min = Durations.multiply(context.settings().workers().heartbeatInterval(), MAX_MISSED_HEARTBEATS)
                .plusSeconds(1);
        Duration bounded = shorter.compareTo(min) > 0 ? shorter : min;
        return bounded.compareTo(limit) < 0 ? bounded : limit;
    }

    private boolean holdsReplicas(MachineRecord machine) {
        return context.replica().allocationsOn(machine.id()).stream()
                .anyMatch(placed -> placed.job().spec().isPresent()
                        && placed.job().submission().isService());
    }

    /** Drops the state of a machine whose record was removed. */
    void forget(String machineId) {
        withoutHeartbeatSince.remove(machineId);
        idleTracker.forget(machineId);
    }

    /** Discards all observations, since those of an earlier term as leader are no longer valid. */
    void clear() {
        withoutHeartbeatSince.clear();
        idleTracker.clear();
    }
}
