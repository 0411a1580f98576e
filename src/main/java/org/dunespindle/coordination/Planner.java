package org.dunespindle.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * Decides, from a snapshot, which task goes where, which tasks give way and which machines are missing.
 * Pure. The leader's snapshot holds all machines and gangs; any other controller's holds its own machines.
 */
public final class Planner {
    /** Gangs behind others of their team that machines are looked for already. */
    private static final int MOST_AHEAD = 12;

    private Planner() {}

    /** A machine as the plan sees it. */
    public record Host(
            String id,
            String type,
            String zone,
            boolean spot,
            Resources size,
            boolean up,
            boolean mine,
            Set<String> images) {}

    /**
     * Everything a plan depends on.
     *
     * @param projection the jobs, as stored and as expected
     * @param mostTasks how many tasks of an array may be under way at once
     * @param ended tasks whose end is reported but not stored yet: their room is free, their team's use is not
     * @param leftAlone jobs that another controller is placing, or that wait for more: not booked here now
     * @param gangs whether gangs are planned here
     * @param departing machines that are about to be taken away, returned or closed
     * @param progress how long tasks have been under way, as far as known here
     */
    public record Snapshot(
            Instant now,
            ProjectedJobs projection,
            List<Host> hosts,
            Map<String, Settings.Team> teams,
            Map<String, Place> whereabouts,
            Set<Market> refused,
            ToIntFunction<JobRecord> mostTasks,
            Set<Ended> ended,
            Set<String> leftAlone,
            boolean gangs,
            Set<String> departing,
            List<Headroom.Phantom> phantoms,
            Targets targets,
            Function<Started, Duration> progress) {
        /** The jobs as this controller expects them to be. */
        public List<JobRecord> jobs() {
            return projection.expected();
        }
    }

    /** An allocation whose task has ended. */
    public record Ended(String job, int task, long base) {}

    /** Tasks of a job that were booked together. */
    public record Started(String job, long base) {}

    /** Type, zone and kind, as the cloud rents them. */
    public record Market(String type, String zone, boolean spot) {}

    /** Type, zone and kind of a machine that holds allocations, whether or not it can take more. */
    public record Place(String type, String zone, boolean spot) {}

    /** Tasks of one job booked at once. */
    public record Booking(JobRecord job, Map<Integer, String> places) {}

    /** A task that should give way to a job. */
    public record Eviction(JobRecord victim, Allocation allocation, String forJob) {}

    /** Room that no machine offers, not even a booting one. */
    public record Shortfall(JobRecord job, int tasks, Optional<String> zone) {}

    /**
     * The outcome.
     *
     * @param reasons why a job waits
     * @param wantedHosts machines that something is planned on
     * @param gangHosts those of them that gangs are planned on
     * @param moves replicas that are to run elsewhere
     */
    public record Plan(
            List<Booking> bookings,
            List<Eviction> evictions,
            List<Shortfall> shortfalls,
            Map<String, String> reasons,
            Set<String> wantedHosts,
            Set<String> gangHosts,
            List<Eviction> moves) {
        public static final Plan NONE =
                new Plan(List.of(), List.of(), List.of(), Map.of(), Set.of(), Set.of(), List.of());
    }

    /** Works out a plan. */
    public static Plan plan(Snapshot s) {
        return new Work(s).run();
    }

    /** Jobs that fit within their team's guarantee together with the team's earlier unfinished jobs. */
    public static Set<String> guaranteed(List<JobRecord> jobs, Map<String, Settings.Team> teams) {
        var sums = new HashMap<String, Resources>();
        var within = new HashSet<String>();
        jobs.stream()
                .filter(JobRecord::open)
                .sorted(Comparator.comparing(JobRecord::arrived).thenComparing(JobRecord::id))
                .forEach(j -> {
                    Resources sum = sums.merge(j.job().team(), j.job().wholeAsk(), Resources::plus);
                    Settings.Team team = teams.get(j.job().team());
                    if (team != null && team.withinGuarantee(sum)) {
                        within.add(j.id());
                    }
                });
        return within;
    }

    /** How many of the same size fit into some room. */
    static int fitCount(Resources one, Resources free, int most) {
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
        private final ReplicaMoves replicaMoves;
        private final MachineDemand demand;
        private final List<JobRecord> alike = new ArrayList<>();
        private final List<JobRecord> queued = new ArrayList<>();

        Work(Snapshot snapshot) {
            state = new PlanState(snapshot);
            order = new JobOrder(snapshot);
            queues = new GangQueues(state);
            var zoneChooser = new ZoneChooser(state);
            gangs = new GangPlanner(state, zoneChooser);
            arrays = new ArrayPlanner(state, zoneChooser);
            services = new ServicePlanner(state, zoneChooser);
            replicaMoves = new ReplicaMoves(state, zoneChooser);
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
            state.snapshot().phantoms().forEach(phantom -> demand.expected(phantom.job()));
            return state.plan();
        }

        private void consider(JobRecord job) {
            boolean gang = job.job().gang();
            if (!gang) {
                demand.keepFreeOf(job);
            }
            Optional<Instant> pause =
                    job.notBefore().filter(t -> t.isAfter(state.snapshot().now()));
            if (pause.isPresent()) {
                state.waitsForNow(job, "its tasks fail or were refused; tried again at " + pause.get());
            } else if (job.job().service()) {
                services.place(job);
            } else if (!gang) {
                alike.add(job);
            } else if (queues.mayPlace(job)) {
                gangs.place(job);
            } else {
                String head = queues.head(job.job().team()).map(JobRecord::id).orElse("another");
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
