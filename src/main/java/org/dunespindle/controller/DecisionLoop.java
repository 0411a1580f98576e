package org.dunespindle.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.Planner;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.time.Durations;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The controller's reconciliation loop: each round compares the desired with the observed state and proposes changes.
 * Machines with changes are reconciled in every round. Plans for the whole cluster are made less often, with pauses in
 * proportion to the planning time, so that requests of users and workers are not delayed.
 */
final class DecisionLoop implements RoundScheduler.Round {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    /** With a staler replica no tasks are placed. */
    static final Duration MAX_STALENESS_FOR_PLACEMENT = Duration.ofSeconds(3);

    /** Interval of steps that go through all machines or jobs. */
    private static final Duration MIN_SCAN_INTERVAL = Duration.ofMillis(100);

    private static final Duration MIN_PLAN_INTERVAL = Duration.ofMillis(150);
    private static final Duration MAX_PLAN_INTERVAL = Duration.ofSeconds(1);
    /** The pause after a plan, as a multiple of the planning time. */
    private static final int PAUSE_PER_PLANNING_TIME = 10;

    private final ControllerParts parts;
    private final Consumer<String> terminate;
    private final Histogram planTimes = LatencyHistograms.create();
    private Plan plan = Plan.NONE;
    private Duration lastScanAt = Duration.ZERO;
    private Duration lastPlanAt = Duration.ZERO;
    private Duration lastPlanTime = Duration.ZERO;
    /** The version of the stored and reported state from which the last plan was made; see {@link #observedVersion}. */
    private long plannedVersion = -1;

    DecisionLoop(ControllerParts parts, Consumer<String> terminate) {
        this.parts = parts;
        this.terminate = terminate;
    }

    /** The last plan made by this controller. */
    Plan lastPlan() {
        return plan;
    }

    /** The time taken by planning, including the execution of the plan. */
    Histogram planTimes() {
        return planTimes;
    }

    @Override
    public Duration planningTimeSince(Duration start) {
        return lastPlanAt.compareTo(start) > 0 ? lastPlanTime : Duration.ZERO;
    }

    @Override
    public void run() {
        if (parts.shared.formatUpgrade.isStoredFormatTooNew()) {
            terminate.accept("what is stored has format version " + parts.shared.replica.formatVersion()
                    + "; this program reads up to " + parts.shared.formatUpgrade.newestReadableVersion());
            return;
        }
        // Called in every round, not only on the timer: after a crash of all controllers, the workers' leases are
        // about to expire.
        parts.shared.membership.tick();
        if (!parts.shared.membership.isLeader()) {
            // Also needed if this controller is the leader again by the next plan: it has not observed the fleet since.
            parts.machines.fleetManager.discardLeaderState();
        }
        if (!parts.shared.replica.isLoaded()) {
            return;
        }
        parts.machines.cancellationEnforcer.tick();
        if (parts.shared.membership.incarnation() == 0) {
            return;
        }
        parts.workers.workerClient.reconcilePending();
        boolean scanDue = scanIsDue();
        if (scanDue) {
            parts.jobs.terminationWriter.storePending(
                    parts.shared.membership.isLeader() ? terminationsOnLostMachines() : List.of());
        }
        if (parts.shared.membership.isMember()) {
            runAsMember(scanDue);
        }
    }

    private boolean scanIsDue() {
        Duration now = parts.shared.timeSource.now();
        if (now.minus(lastScanAt).compareTo(MIN_SCAN_INTERVAL) < 0) {
            return false;
        }
        lastScanAt = now;
        return true;
    }

    private void runAsMember(boolean scanDue) {
        parts.machines.shardOwnership.tick(plan);
        if (parts.shared.replica.staleness().compareTo(MAX_STALENESS_FOR_PLACEMENT) > 0
                || parts.machines.catalog.types().isEmpty()) {
            // An outage of the state store or the cloud: running tasks continue, no tasks are placed.
            return;
        }
        if (parts.shared.membership.isLeader()) {
            parts.jobs.gangLifecycle.tick();
            parts.shared.formatUpgrade.tick();
            parts.shared.oversizeRecordSplitter.tick();
        }
        if (scanDue) {
            parts.jobs.interruptionNoticeDrainer.drain();
        }
        if (planIsDue()) {
            makePlan();
        }
        parts.loadReporter.reportIfDue();
    }

    /** Terminations of tasks on machines that the cloud has confirmed as terminated, or whose record has been removed, which happens after that. */
    private List<TaskTermination> terminationsOnLostMachines() {
        var lostMachines = new ArrayList<>(parts.machines.terminator.terminatedMachines());
        parts.shared.replica.machinesWithAllocations().stream()
                .filter(id ->
                        !parts.shared.replica.machines().containsKey(id) && !parts.machines.terminator.isTerminated(id))
                .forEach(lostMachines::add);
        var terminations = new ArrayList<TaskTermination>();
        for (String machineId : lostMachines) {
            for (PlacedTask placed : parts.shared.replica.allocationsOn(machineId)) {
                terminations.add(new TaskTermination(
                        placed.job().id(),
                        placed.allocation().task(),
                        placed.allocation().attemptBase(),
                        TerminationCause.GONE,
                        "its machine " + machineId + " is gone"));
            }
        }
        return terminations;
    }

    private boolean planIsDue() {
        Duration sincePlan = parts.shared.timeSource.now().minus(lastPlanAt);
        Duration pause =
                Durations.max(Duration.ofNanos(lastPlanTime.toNanos() * PAUSE_PER_PLANNING_TIME), MIN_PLAN_INTERVAL);
        boolean changed = observedVersion() != plannedVersion;
        return sincePlan.compareTo(pause) >= 0 && (changed || sincePlan.compareTo(MAX_PLAN_INTERVAL) >= 0);
    }

    private long observedVersion() {
        return parts.shared.replica.version() + parts.workers.workerClient.version();
    }

    private void makePlan() {
        Duration start = parts.shared.timeSource.now();
        plannedVersion = observedVersion();
        Plan previous = plan;
        ClusterSnapshot snapshot = parts.jobs.snapshotBuilder.build();
        plan = Planner.plan(snapshot);
        if (LOG.isDebugEnabled() && parts.shared.membership.isLeader()) {
            logChangedWaitReasons(previous);
        }
        execute(snapshot);
        lastPlanAt = parts.shared.timeSource.now();
        lastPlanTime = lastPlanAt.minus(start);
        LatencyHistograms.record(planTimes, lastPlanTime);
    }

    private void execute(ClusterSnapshot snapshot) {
        parts.workers.pendingPreemptions.prune(parts.shared.replica);
        if (parts.shared.membership.isLeader()) {
            parts.machines.shardOwnership.acquireForGangs(plan);
        }
        parts.jobDelegation.onPlan(snapshot, plan);
        parts.jobs.taskPreemptor.preempt(plan);
        parts.jobs.taskPreemptor.moveReplicas(plan);
        parts.jobs.placementWriter.place(plan, snapshot.projection());
        parts.machines.fleetManager.tick(plan);
    }

    private void logChangedWaitReasons(Plan previous) {
        plan.waitReasons().forEach((job, reason) -> {
            if (!reason.equals(previous.waitReasons().get(job))) {
                LOG.debug("job waits job={} reason=\"{}\"", job, reason);
            }
        });
    }
}
