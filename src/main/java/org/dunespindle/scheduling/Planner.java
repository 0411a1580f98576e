package org.dunespindle.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecord;

/**
 * Decides, from a snapshot, which task goes where, which tasks give way and which machines are missing.
 * Pure. The leader's snapshot holds all machines and gangs; any other controller's holds its own machines.
 */
public final class Planner {
    /** Gangs behind others of their team that machines are looked for already. */
    private static final int MOST_AHEAD = 12;

    private Planner() {}

    /** Works out a plan. */
    public static Plan plan(ClusterSnapshot snapshot) {
        return new Work(snapshot).run();
    }

    /** Jobs that fit within their team's guarantee together with the team's earlier unfinished jobs. */
    public static Set<String> guaranteed(List<JobRecord> jobs, Map<String, Settings.Team> teams) {
        var sums = new HashMap<String, Resources>();
        var within = new HashSet<String>();
        jobs.stream()
                .filter(JobRecord::isOpen)
                .sorted(Comparator.comparing(JobRecord::arrived).thenComparing(JobRecord::id))
                .forEach(job -> {
                    Resources sum =
                            sums.merge(job.submission().team(), job.submission().totalResources(), Resources::plus);
                    Settings.Team team = teams.get(job.submission().team());
                    if (team != null && team.withinGuarantee(sum)) {
                        within.add(job.id());
                    }
                });
        return within;
    }

    /** How many of the same size fit into some room. */
    public static int fitCount(Resources one, Resources free, int most) {
        int n = 0;
        while (n < most && one.times(n + 1).fitsIn(free)) {
            n++;
        }
        return n;
    }

    /** One plan in the making: jobs in their order, each placed by the planner for its shape. */
    private static final class Work {
        private final PlanState state;
        private final JobOrder order;
        private final GangQueues queues;
        private final GangPlanner gangs;
        private final ArrayPlanner arrays;
        private final ServicePlanner services;
        private final ServiceRebalancer replicaMoves;
        private final MachineDemand demand;
        private final List<JobRecord> alike = new ArrayList<>();
        private final List<JobRecord> queued = new ArrayList<>();

        Work(ClusterSnapshot snapshot) {
            state = new PlanState(snapshot);
            order = new JobOrder(snapshot);
            queues = new GangQueues(state);
            var zoneChooser = new ZoneChooser(state);
            gangs = new GangPlanner(state, zoneChooser);
            arrays = new ArrayPlanner(state, zoneChooser);
            services = new ServicePlanner(state, zoneChooser);
            replicaMoves = new ServiceRebalancer(state, zoneChooser);
            demand = new MachineDemand(state, zoneChooser);
        }

        Plan run() {
            JobRecord before = null;
            for (JobRecord job : order.jobs()) {
                if (before != null && !order.equalStanding(before, job)) {
                    placeArrays();
                }
                before = job;
                consider(job);
            }
            placeArrays();
            queued.stream().limit(MOST_AHEAD).forEach(demand::ahead);
            replicaMoves.plan();
            state.snapshot().forecastJobs().forEach(phantom -> demand.expected(phantom.job()));
            return state.plan();
        }

        private void consider(JobRecord job) {
            boolean gang = job.submission().isGang();
            if (!gang) {
                demand.keepFreeOf(job);
            }
            Optional<Instant> pause =
                    job.notBefore().filter(t -> t.isAfter(state.snapshot().now()));
            if (pause.isPresent()) {
                state.waitsForNow(job, "its tasks fail or were refused; tried again at " + pause.get());
            } else if (job.submission().isService()) {
                services.place(job);
            } else if (!gang) {
                alike.add(job);
            } else if (queues.mayPlace(job)) {
                gangs.place(job);
            } else {
                String head =
                        queues.head(job.submission().team()).map(JobRecord::id).orElse("another");
                state.waitsForNow(job, "behind gang " + head + " of its team");
                queued.add(job);
            }
        }

        private void placeArrays() {
            arrays.place(alike);
            alike.clear();
        }
    }
}
