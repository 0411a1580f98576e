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
 * The controller's main loop: rounds that compare what is wanted with what is and propose the difference. Machines about
 * which something changed are reconciled in every round; the whole is planned less often, and the less often the longer a
 * plan takes, so that requests of users and workers keep their turn.
 */
final class DecisionLoop implements RoundScheduler.Round {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    /** With a staler replica nothing new is placed. */
    static final Duration MAX_STALENESS_FOR_PLACEMENT = Duration.ofSeconds(3);

    /** For work that goes through all machines or jobs. */
    private static final Duration MIN_SCAN_INTERVAL = Duration.ofMillis(100);

    private static final Duration MIN_PLAN_INTERVAL = Duration.ofMillis(150);
    private static final Duration MAX_PLAN_INTERVAL = Duration.ofSeconds(1);
    /** The pause after a plan, in multiples of the time that planning took. */
    private static final int PAUSE_PER_PLAN_TIME = 10;

    private final ControllerParts parts;
    private final Consumer<String> terminate;
    private final Histogram planTimes = LatencyHistograms.create();
    private Plan plan = Plan.NONE;
    private Duration lastScanAt = Duration.ZERO;
    private Duration lastPlanAt = Duration.ZERO;
    private Duration lastPlanTime = Duration.ZERO;
    /** The versions of stored and reported state that the last plan was made for. */
    private long plannedVersion = -1;

    DecisionLoop(ControllerParts parts, Consumer<String> terminate) {
        this.parts = parts;
        this.terminate = terminate;
    }

    /** The last plan that was made here. */
    Plan lastPlan() {
        return plan;
    }

    /** The time that plans took, with carrying them out. */
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
        // In every round, not only on the timer: after a crash of all controllers the workers' leases are about to
        // expire.
        parts.shared.membership.tick();
        if (!parts.shared.membership.isLeader()) {
            // Also when it leads again by the next plan: it has not observed the fleet in between.
            parts.machines.fleetManager.discardLeaderState();
        }
        if (!parts.shared.replica.isLoaded() || parts.shared.membership.incarnation() == 0) {
            return;
        }
        parts.workers.workerClient.reconcilePending();
        boolean scans = scanIsDue();
        if (scans) {
            parts.jobs.terminationWriter.storePending(
                    parts.shared.membership.isLeader() ? terminationsOnLostMachines() : List.of());
        }
        if (parts.shared.membership.isMember()) {
            runAsMember(scans);
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

    private void runAsMember(boolean scans) {
        parts.machines.shardOwnership.tick(plan);
        if (parts.shared.replica.staleness().compareTo(MAX_STALENESS_FOR_PLACEMENT) > 0
                || parts.machines.catalog.types().isEmpty()) {
            return; // an outage: what runs goes on, nothing new is placed
        }
        if (parts.shared.membership.isLeader()) {
            parts.jobs.gangLifecycle.tick();
            parts.shared.formatUpgrade.tick();
            parts.shared.oversizeRecordSplitter.tick();
        }
        if (scans) {
            parts.jobs.interruptionNoticeDrainer.drain();
        }
        if (planIsDue()) {
            makePlan();
        }
        parts.loadReporter.reportIfDue();
    }

    /** Terminations on machines that the cloud confirmed as gone, or that have no record any more, which comes later still. */
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
                Durations.max(Duration.ofNanos(lastPlanTime.toNanos() * PAUSE_PER_PLAN_TIME), MIN_PLAN_INTERVAL);
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
            logChangedReasons(previous);
        }
        carryOut(snapshot);
        lastPlanAt = parts.shared.timeSource.now();
        lastPlanTime = lastPlanAt.minus(start);
        LatencyHistograms.record(planTimes, lastPlanTime);
    }

    private void carryOut(ClusterSnapshot snapshot) {
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

    private void logChangedReasons(Plan previous) {
        plan.waitReasons().forEach((job, reason) -> {
            if (!reason.equals(previous.waitReasons().get(job))) {
                LOG.debug("job waits job={} reason=\"{}\"", job, reason);
            }
        });
    }
}
