package org.dunespindle.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.bookkeeping.Claim;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/**
 * Decides, from a snapshot, which task goes where, which tasks give way and which machines are missing.
 * Pure: every controller works out the whole picture and carries out its own part, so that two owners seldom
 * reach for the same task.
 */
public final class Planner {
    private Planner() {}

    /** A machine as the plan sees it. */
    public record Host(String id, String type, String zone, boolean spot, Resources size, boolean up, boolean mine, Set<String> images) {}

    /** Everything a plan depends on. */
    public record Snapshot(Instant now, List<JobRecord> jobs, List<Host> hosts, Map<String, Settings.Team> teams, Map<String, Place> whereabouts,
            Set<Market> refused, int mostTasksPerJob, Set<String> impatient, List<JobRecord> phantoms, Map<String, List<Duration>> targets) {}

    /** Type, zone and kind, as the cloud rents them. */
    public record Market(String type, String zone, boolean spot) {}

    /** Type, zone and kind of a machine that holds claims, whether or not it can take more. */
    public record Place(String type, String zone, boolean spot) {}

    /** Tasks of one job booked at once. */
    public record Booking(JobRecord job, Map<Integer, String> places) {}

    /** A task that should give way to a job. */
    public record Eviction(JobRecord victim, Claim claim, String forJob) {}

    /** Room that no machine offers, not even a booting one. */
    public record Shortfall(JobRecord job, int tasks, Optional<String> zone) {}

    /** The outcome; {@code reasons} tells why a job waits. */
    public record Plan(List<Booking> bookings, List<Eviction> evictions, List<Shortfall> shortfalls, Map<String, String> reasons, Set<String> wantedHosts) {}

    /** Works out a plan. */
    public static Plan plan(Snapshot s) {
        return new Work(s).run();
    }

    /** What each team's claims take, cancelled jobs' included: their tasks still count until they are gone. */
    public static Map<String, Resources> use(Iterable<JobRecord> jobs) {
        var use = new HashMap<String, Resources>();
        for (JobRecord j : jobs) {
            j.spec().ifPresent(spec -> use.merge(spec.team(), spec.perTask().times(j.claims().size()), Resources::plus));
        }
        return use;
    }

    /** Jobs that fit within their team's guarantee together with the team's earlier unfinished jobs. */
    public static Set<String> guaranteed(List<JobRecord> jobs, Map<String, Settings.Team> teams) {
        var sums = new HashMap<String, Resources>();
        var within = new HashSet<String>();
        jobs.stream().filter(JobRecord::open).sorted(Comparator.comparing(JobRecord::arrived).thenComparing(JobRecord::id)).forEach(j -> {
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

    private static final class Work {
        private static final int MOST_COUNTED = 64;
        private static final int FETCH_COST = 4;
        private static final Duration LOST_CAUSE = Duration.ofDays(1);
        private final Snapshot s;
        private final Map<String, Host> hosts = new TreeMap<>();
        private final Map<String, Resources> room = new HashMap<>();
        private final Map<String, Resources> use;
        private final Map<String, List<Victim>> victims = new HashMap<>();
        private final List<Booking> bookings = new ArrayList<>();
        private final List<Eviction> evictions = new ArrayList<>();
        private final List<Shortfall> shortfalls = new ArrayList<>();
        private final Map<String, String> reasons = new LinkedHashMap<>();
        private final Set<String> wanted = new HashSet<>();
        private final Set<String> guaranteed;
        /** What unplaced tasks would add to their team's use; bounds renting, but keeps no other job from being placed. */
        private final Map<String, Resources> pending = new HashMap<>();
        /** Room of tasks that are being stopped, by machine. */
        private final Map<String, Resources> ending = new HashMap<>();
        /** Machines promised to a gang before their room is free: nothing can be booked there yet. */
        private final Set<String> later = new HashSet<>();

        private record Victim(JobRecord job, Claim claim) {}

        Work(Snapshot s) {
            this.s = s;
            this.use = use(s.jobs());
            this.guaranteed = guaranteed(s.jobs(), s.teams());
            for (Host h : s.hosts()) {
                hosts.put(h.id(), h);
                room.put(h.id(), h.size());
            }
            for (JobRecord j : s.jobs()) {
                for (Claim c : j.claims()) {
                    room.computeIfPresent(c.host(), (h, r) -> r.minus(j.job().perTask()));
                    if (c.stopping() || !j.open() || j.mode() == JobRecord.Mode.STOP) {
                        ending.merge(c.host(), j.job().perTask(), Resources::plus);
                    } else if (!j.job().gang()) {
                        // The latest booked first: they have least to lose.
                        victims.computeIfAbsent(c.host(), h -> new ArrayList<>()).add(0, new Victim(j, c));
                    }
                }
            }
        }

        Plan run() {
            // A gang whose placeholders are all booked has left placement: its whole ask counts as use by then.
            // A gang of one never holds partial room, so it does not queue for placement either.
            var heads = new HashMap<String, JobRecord>();
            for (JobRecord j : s.jobs()) {
                if (j.open() && j.job().gang() && j.job().tasks() > 1 && j.unplacedCount() > 0) {
                    heads.merge(j.job().team(), j, (a, b) -> earlier(a, b) ? a : b);
                }
            }
            var ordered = new ArrayList<>(s.jobs());
            ordered.removeIf(j -> !j.open() || j.unplacedCount() == 0);
            ordered.sort(Comparator.comparing((JobRecord j) -> j.job().priority(), Comparator.reverseOrder()).thenComparing(j -> !guaranteed.contains(j.id()))
                    .thenComparing(this::urgency).thenComparing(JobRecord::id));
            for (JobRecord j : ordered) {
                if (j.notBefore().isPresent() && j.notBefore().get().isAfter(s.now())) {
                    reasons.put(j.id(), "its tasks fail or were refused; tried again at " + j.notBefore().get());
                } else if (j.job().gang()) {
                    JobRecord head = heads.get(j.job().team());
                    boolean single = j.job().tasks() == 1 && (head == null || teamAllows(head.job(), head.unplacedCount()) || earlier(j, head));
                    if (head == j || single) {
                        gang(j);
                    } else {
                        reasons.put(j.id(), "behind gang " + head.id() + " of its team");
                    }
                } else {
                    array(j);
                }
            }
            s.phantoms().forEach(this::spare);
            return new Plan(bookings, evictions, shortfalls, reasons, wanted);
        }

        /** Keeps or asks for room for a job that has not come yet; it is wanted, but nothing is booked or evicted. */
        private void spare(JobRecord phantom) {
            var zones = new Zones(phantom);
            var candidates = candidates(phantom.job());
            int missing = 0;
            for (int i = 0; i < phantom.job().tasks(); i++) {
                Optional<Host> best = best(phantom.job(), candidates, zones, false);
                if (best.isEmpty()) {
                    missing++;
                } else {
                    room.merge(best.get().id(), phantom.job().perTask(), Resources::minus);
                    wanted.add(best.get().id());
                    zones.add(best.get().zone());
                }
            }
            if (missing > 0) {
                shortfalls.add(new Shortfall(phantom, missing, zones.only));
            }
        }

        /** A gang whose placeholders are being placed stays the head; otherwise arrival order decides. */
        private static boolean earlier(JobRecord a, JobRecord b) {
            boolean holdA = a.mode() == JobRecord.Mode.HOLD;
            boolean holdB = b.mode() == JobRecord.Mode.HOLD;
            if (holdA != holdB) {
                return holdA;
            }
            return a.order() != b.order() ? a.order() < b.order() : a.id().compareTo(b.id()) < 0;
        }

        /**
         * When an array's tasks should start at the latest: for its deadline, or for the nearest of its class's
         * finishing times that it can still meet. Work that can meet none any more lets the others go first.
         */
        private Instant urgency(JobRecord j) {
            Submission job = j.job();
            if (job.gang()) {
                return j.arrived();
            }
            List<Duration> ends = job.due().map(List::of).orElseGet(() -> s.targets().getOrDefault(job.jobClass(), List.of()));
            Duration atBest = job.estimate().multipliedBy(7).dividedBy(10);
            for (Duration end : ends) {
                Instant due = j.arrived().plus(end);
                if (!s.now().plus(atBest).isAfter(due)) {
                    return due.minus(job.estimate());
                }
            }
            return ends.isEmpty() ? j.arrived() : j.arrived().plus(LOST_CAUSE);
        }

        private boolean teamAllows(Submission job, int tasks) {
            return withinLimit(job, Resources.NONE, tasks);
        }

        private boolean allowed(Submission job, Host h) {
            return job.types().map(t -> t.contains(h.type())).orElse(true) && job.zone().map(h.zone()::equals).orElse(true) && (job.spot() || !h.spot());
        }

        private boolean rentable(Submission job, int tasks) {
            return withinLimit(job, pending.getOrDefault(job.team(), Resources.NONE), tasks);
        }

        private boolean withinLimit(Submission job, Resources besides, int tasks) {
            Settings.Team team = s.teams().get(job.team());
            return team != null && team.withinLimit(use.getOrDefault(job.team(), Resources.NONE).plus(besides).plus(job.perTask().times(tasks)));
        }

        private boolean bookable(Host h) {
            return h.up() && !later.contains(h.id());
        }

        private void take(Submission job, String host) {
            room.merge(host, job.perTask(), Resources::minus);
            use.merge(job.team(), job.perTask(), Resources::plus);
            wanted.add(host);
        }

        private void array(JobRecord j) {
            Submission job = j.job();
            int budget = Math.max(0, s.mostTasksPerJob() - j.claims().size() - j.again().size());
            var places = new LinkedHashMap<Integer, String>();
            int waiting = 0;
            var zones = new Zones(j);
            var candidates = candidates(job);
            boolean ownOnly = s.impatient().contains(j.id());
            int fresh = 0;
            for (int task : j.unplaced(s.mostTasksPerJob())) {
                if (!teamAllows(job, 1)) {
                    reasons.put(j.id(), "its team's limit is used up");
                    break;
                }
                if (task >= j.next() && fresh++ >= budget) {
                    break;
                }
                Optional<Host> best = best(job, candidates, zones, ownOnly);
                if (best.isEmpty()) {
                    if (!rentable(job, 1)) {
                        break;
                    }
                    waiting++;
                    pending.merge(job.team(), job.perTask(), Resources::plus);
                    continue;
                }
                take(job, best.get().id());
                zones.add(best.get().zone());
                if (bookable(best.get())) {
                    places.put(task, best.get().id());
                } else {
                    reasons.putIfAbsent(j.id(), "waits for machines that are booting");
                }
            }
            if (!places.isEmpty()) {
                bookings.add(new Booking(j, places));
            }
            if (waiting > 0) {
                reasons.putIfAbsent(j.id(), "no room on machines it may use");
                shortfalls.add(new Shortfall(j, waiting, zones.only));
            }
        }

        private List<Host> candidates(Submission job) {
            var list = new ArrayList<Host>();
            for (Host h : hosts.values()) {
                if (allowed(job, h)) {
                    list.add(h);
                }
            }
            return list;
        }

        /** Where a job's tasks may still go, given where they are: one zone for all, or at most half in each. */
        private final class Zones {
            private final Submission job;
            private final int most;
            private final Map<String, Integer> taken = new HashMap<>();
            private Optional<String> only;

            Zones(JobRecord j) {
                job = j.job();
                most = job.spread() ? (job.tasks() + 1) / 2 : Integer.MAX_VALUE;
                for (Claim c : j.claims()) {
                    Place p = s.whereabouts().get(c.host());
                    if (p != null) {
                        taken.merge(p.zone(), 1, Integer::sum);
                    }
                }
                only = job.zone();
                if (job.sameZone() && only.isEmpty()) {
                    only = taken.isEmpty() ? zoneFor(j, Math.min(MOST_COUNTED, j.unplacedCount())) : taken.keySet().stream().findFirst();
                }
            }

            boolean allows(Host h) {
                return only.map(h.zone()::equals).orElse(true) && taken.getOrDefault(h.zone(), 0) < most;
            }

            void add(String zone) {
                taken.merge(zone, 1, Integer::sum);
                if (job.sameZone()) {
                    only = Optional.of(zone);
                }
            }
        }

        private Optional<Host> best(Submission job, List<Host> candidates, Zones zones, boolean ownOnly) {
            Host best = null;
            double bestScore = 0;
            for (Host h : candidates) {
                if (!zones.allows(h) || !job.perTask().fitsIn(room.get(h.id())) || (ownOnly && !h.mine() && h.up())) {
                    continue;
                }
                double score = score(job, h);
                if (best == null || score > bestScore) {
                    best = h;
                    bestScore = score;
                }
            }
            return Optional.ofNullable(best);
        }

        /** Up before booting, a fetched image before a cheap kind, cheap kinds before dear ones, full before empty. */
        private double score(Submission job, Host h) {
            Resources free = room.get(h.id());
            double fill = h.size().gpus() > 0 ? 1 - free.gpus() / h.size().gpus() : 1 - free.cpus() / Math.max(1e-9, h.size().cpus());
            return (h.up() ? 8 : 0) + (h.spot() && job.spot() ? 2 : 0) + (h.images().contains(job.image()) ? 3 : 0) + fill;
        }

        private void gang(JobRecord j) {
            Submission job = j.job();
            int missing = j.unplacedCount();
            if (!teamAllows(job, missing)) {
                reasons.put(j.id(), "its team's unused limit does not cover the whole gang");
                return;
            }
            var zones = new Zones(j);
            var places = new LinkedHashMap<Integer, String>();
            int unplaced = 0;
            var candidates = candidates(job);
            var up = candidates.stream().filter(Host::up).toList();
            for (int task : j.unplaced(job.tasks())) {
                // Lower work gives way before the gang waits for a machine to boot; that machine then takes the lower work.
                Optional<Host> best = best(job, up, zones, false);
                boolean evicting = false;
                if (best.isEmpty()) {
                    best = evict(j, up.stream().filter(zones::allows).toList());
                    evicting = best.isPresent();
                }
                if (best.isEmpty()) {
                    best = best(job, candidates, zones, false);
                }
                if (best.isEmpty()) {
                    unplaced++;
                    continue;
                }
                Host h = best.get();
                take(job, h.id());
                zones.add(h.zone());
                if (evicting) {
                    reasons.putIfAbsent(j.id(), "waits for lower work to give way on " + h.id());
                } else if (bookable(h)) {
                    places.put(task, h.id());
                } else {
                    reasons.putIfAbsent(j.id(), "waits for machines that are booting");
                }
            }
            if (unplaced > 0) {
                reasons.put(j.id(), "no room for " + unplaced + " of " + job.tasks() + " members" + zones.only.map(z -> " in zone " + z).orElse(""));
                shortfalls.add(new Shortfall(j, unplaced, zones.only));
                pending.merge(job.team(), job.perTask().times(unplaced), Resources::plus);
            }
            if (!places.isEmpty()) {
                bookings.add(new Booking(j, places));
            }
        }

        /** The zone with most room for the gang now, then with most soon, then one that still rents. */
        private Optional<String> zoneFor(JobRecord j, int missing) {
            Submission job = j.job();
            var scores = new TreeMap<String, Double>();
            for (Host h : candidates(job)) {
                int fits = fitCount(job.perTask(), room.get(h.id()), missing);
                int emptied = fitCount(job.perTask(), withVictims(h, j), missing);
                scores.merge(h.zone(), (h.up() ? 3.0 : 1.5) * fits + Math.max(0, emptied - fits) + (h.images().contains(job.image()) ? 0.2 * fits : 0), Double::sum);
            }
            for (Market m : s.refused()) {
                scores.computeIfPresent(m.zone(), (z, v) -> v - 0.5);
            }
            return scores.entrySet().stream().filter(e -> e.getValue() > 0).max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
        }

        private Resources withVictims(Host h, JobRecord j) {
            Resources r = room.get(h.id());
            for (Victim v : victims.getOrDefault(h.id(), List.of())) {
                if (mayEvict(j, v)) {
                    r = r.plus(v.job().job().perTask());
                }
            }
            return r;
        }

        /**
         * Priority decides both who gives way and who is planned first: were that not the same order, lower work would
         * take the freed room back at once, and the job would evict again and again.
         */
        private boolean mayEvict(JobRecord j, Victim v) {
            return v.job().job().priority().compareTo(j.job().priority()) < 0;
        }

        /** The machine where the fewest lower tasks have to give way; a fetch counts as some more of them. */
        private Optional<Host> evict(JobRecord j, List<Host> open) {
            Host best = null;
            List<Victim> bestVictims = List.of();
            int bestCost = 0;
            for (Host h : open) {
                Resources free = room.get(h.id()).plus(ending.getOrDefault(h.id(), Resources.NONE));
                var chosen = new ArrayList<Victim>();
                for (Victim v : victims.getOrDefault(h.id(), List.of())) {
                    if (!j.job().perTask().fitsIn(free) && mayEvict(j, v)) {
                        chosen.add(v);
                        free = free.plus(v.job().job().perTask());
                    }
                }
                // Tasks already being stopped cost nothing more; a second machine must not be emptied beside them.
                int cost = chosen.isEmpty() ? -1 : chosen.size() + (h.images().contains(j.job().image()) ? 0 : FETCH_COST);
                if (j.job().perTask().fitsIn(free) && (best == null || cost < bestCost)) {
                    bestCost = cost;
                    best = h;
                    bestVictims = chosen;
                }
            }
            if (best == null) {
                return Optional.empty();
            }
            Resources freed = ending.remove(best.id());
            if (freed != null) {
                room.merge(best.id(), freed, Resources::plus);
            }
            later.add(best.id());
            for (Victim v : bestVictims) {
                evictions.add(new Eviction(v.job(), v.claim(), j.id()));
                victims.get(best.id()).remove(v);
                room.merge(best.id(), v.job().job().perTask(), Resources::plus);
            }
            return Optional.of(best);
        }
    }
}
