package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.Options;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;
import org.dunespindle.worker.FailureDetector;
import org.dunespindle.worker.WorkerClient;

/** Decides for the leader whether a machine is to be drained or terminated, and why. */
final class MachineEvaluator {
    /** How long, beyond the limit of silence, a new leader waits before it judges machines that no controller has heard. */
    private static final Duration LEADER_WARM_UP = Duration.ofSeconds(15);
    /** How long, beyond the limit of silence, a machine that the cloud lists as running may go unheard. */
    private static final Duration MAX_UNHEARD_WHILE_RUNNING = Duration.ofSeconds(20);
    /** Part, in tenths, of the limit of silence that applies to machines that hold replicas of services. */
    private static final int REPLICA_SILENCE_TENTHS = 6;
    /** So many missed reports in a row may be chance. */
    private static final int TOLERATED_LATE_REPORTS = 3;

    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final FailureDetector failureDetector;
    private final Quarantine quarantine;
    private final CloudInventory inventory;
    private final BootDeadlines bootDeadlines;
    private final IdleTracker idleTracker;
    private final Supplier<Options> options;
    /** Since when this leader has known each machine that no controller has heard yet. */
    private final Map<String, Duration> unheardSince = new HashMap<>();

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
     * Why a machine is to be drained or terminated; empty if it is to stay.
     *
     * @param plan the latest plan: a machine that it needs is not idle
     * @param leadingSince since when this controller has led
     */
    Optional<DrainReason> evaluate(MachineRecord machine, Plan plan, Duration now, Duration leadingSince) {
        idleTracker.observe(machine, plan, now);
        Optional<ListedMachine> listed = inventory.find(machine.id());
        if (listed.filter(ListedMachine::failed).isPresent()) {
            return Optional.of(DrainReason.FAILED);
        }
        if (quarantine.isExpired(machine)) {
            return Optional.of(DrainReason.FAILS_TASKS);
        }
        if (failureDetector.lastSeen(machine).isEmpty()) {
            return evaluateUnheard(machine, listed, now, leadingSince);
        }
        Duration silence = failureDetector.timeSinceLastSeen(machine, leadingSince);
        if (failureDetector.hasFailed(machine, silence, silenceLimit(machine))) {
            return Optional.of(DrainReason.silentFor(silence));
        }
        if (takesNoCommands(machine, silence, leadingSince)) {
            return Optional.of(DrainReason.TAKES_NO_COMMANDS);
        }
        return idleTracker.isIdleTooLong(machine, now) ? Optional.of(DrainReason.IDLE) : Optional.empty();
    }

    /** Evaluates a machine that no controller has heard since it was rented. */
    private Optional<DrainReason> evaluateUnheard(
            MachineRecord machine, Optional<ListedMachine> listed, Duration now, Duration leadingSince) {
        Duration silentLimit = options.get().failureTimeout();
        Duration leading = context.pauseDetector().observedTimeSince(leadingSince);
        Duration unheard = now.minus(unheardSince.computeIfAbsent(machine.id(), id -> now));
        if (leading.compareTo(silentLimit.plus(LEADER_WARM_UP)) <= 0
                || failureDetector.isLikelyPartitioned(machine, leading)) {
            return Optional.empty();
        }
        boolean runsUnheard =
                listed.filter(row -> row.phase().equals("running")).isPresent()
                        && unheard.compareTo(silentLimit.plus(MAX_UNHEARD_WHILE_RUNNING)) > 0;
        boolean bootTimedOut = bootDeadlines.exceeds(machine, options.get().bootTimeoutMultiple());
        if ((!runsUnheard && !bootTimedOut) || failureDetector.mayBeAlive(machine)) {
            return Optional.empty();
        }
        return Optional.of(runsUnheard ? DrainReason.RUNS_UNHEARD : DrainReason.BOOT_TIMED_OUT);
    }

    private boolean takesNoCommands(MachineRecord machine, Duration silence, Duration leadingSince) {
        Duration silentLimit = options.get().failureTimeout();
        boolean reports = silence.compareTo(
                        Durations.multiply(context.settings().workers().report(), 2))
                < 0;
        return context.membership().owns(machine)
                && reports
                && context.pauseDetector().observedTimeSince(leadingSince).compareTo(silentLimit) > 0
                && workerClient
                        .commandsBlockedFor(machine.id())
                        .filter(duration -> duration.compareTo(silentLimit) > 0)
                        .isPresent();
    }

    /**
     * How long a machine may be silent. Users miss replicas of services at once, so machines that hold some are called, and
     * terminated, sooner; but not for a few late reports.
     */
    private Duration silenceLimit(MachineRecord machine) {
        Duration limit = options.get().failureTimeout();
        if (!holdsReplicas(machine)) {
            return limit;
        }
        Duration shorter = Durations.fraction(limit, REPLICA_SILENCE_TENTHS, 10);
        Duration min = Durations.multiply(context.settings().workers().report(), TOLERATED_LATE_REPORTS)
                .plusSeconds(1);
        Duration chosen = shorter.compareTo(min) > 0 ? shorter : min;
        return chosen.compareTo(limit) < 0 ? chosen : limit;
    }

    private boolean holdsReplicas(MachineRecord machine) {
        return context.replica().allocationsOn(machine.id()).stream()
                .anyMatch(placed -> placed.job().spec().isPresent()
                        && placed.job().submission().isService());
    }

    /** A machine's record is removed. */
    void forget(String machineId) {
        unheardSince.remove(machineId);
        idleTracker.forget(machineId);
    }

    /** Forgets everything: what was observed as an earlier leader is no longer valid. */
    void clear() {
        unheardSince.clear();
        idleTracker.clear();
    }
}
