package org.dunespindle.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/** Makes one plan: goes through the jobs in planning order and places each with the planner for its kind. */
final class PlanRun {
    /** The maximum number of gangs, queued behind others of their team, for which machines are requested in advance. */
    private static final int MAX_GANGS_PROVISIONED_IN_ADVANCE = 12;

    private final PlanState state;
    private final JobOrder order;
    private final GangQueues queues;
    private final GangPlanner gangs;
    private final ArrayPlanner arrays;
    private final ServicePlanner services;
    private final ServiceRebalancer rebalancer;
    private final MachineDemand demand;
    /** Consecutive arrays of equal rank, collected in order to be placed together. */
    private final List<JobRecord> equalArrays = new ArrayList<>();

    private final List<JobRecord> queuedGangs = new ArrayList<>();

    PlanRun(ClusterSnapshot snapshot) {
        state = new PlanState(snapshot);
        order = new JobOrder(snapshot);
        queues = new GangQueues(state);
        var zoneChooser = new ZoneChooser(state);
        gangs = new GangPlanner(state, zoneChooser);
        arrays = new ArrayPlanner(state, zoneChooser);
        services = new ServicePlanner(state, zoneChooser);
        rebalancer = new ServiceRebalancer(state, zoneChooser);
        demand = new MachineDemand(state, zoneChooser);
    }

    /** Makes the plan. Must be called only once. */
    Plan run() {
        JobRecord previous = null;
        for (JobRecord job : order.jobs()) {
            if (previous != null && !order.haveEqualRank(previous, job)) {
                placeArrays();
            }
            previous = job;
            plan(job);
        }
        placeArrays();
        queuedGangs.stream().limit(MAX_GANGS_PROVISIONED_IN_ADVANCE).forEach(demand::requestForQueued);
        rebalancer.plan();
        state.snapshot().forecastJobs().forEach(forecast -> demand.requestForForecast(forecast.job()));
        return state.plan();
    }

    private void plan(JobRecord job) {
        boolean gang = job.submission().isGang();
        if (!gang) {
            demand.reserveForForecast(job);
        }
        Optional<Instant> backoffUntil =
                job.notBefore().filter(until -> until.isAfter(state.snapshot().now()));
        if (backoffUntil.isPresent()) {
            state.replaceWaitReason(job, "its tasks failed or were rejected; will be retried at " + backoffUntil.get());
        } else if (job.submission().isService()) {
            services.place(job);
        } else if (gang) {
            planGang(job);
        } else {
            equalArrays.add(job);
        }
    }

    private void planGang(JobRecord gang) {
        if (queues.mayPlace(gang)) {
            gangs.place(gang);
            return;
        }
        String head = queues.head(gang.submission().team()).map(JobRecord::id).orElse("another");
        state.replaceWaitReason(gang, "queued behind gang " + head + " of its team");
        queuedGangs.add(gang);
    }

    private void placeArrays() {
        arrays.place(equalArrays);
        equalArrays.clear();
    }
}
