package org.dunespindle.coordination;

import it.unimi.dsi.fastutil.ints.IntIterator;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.dunespindle.bookkeeping.Claim;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/**
 * Decides, from a snapshot, which task goes where, which tasks give way and which machines are missing.
 * Pure. The leader's snapshot holds all machines and gangs; any other controller's holds its own machines.
 */
public final class Planner {
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
     * @param mostTasks how many tasks of an array may be under way at once
     * @param ended tasks whose end is reported but not stored yet: their room is free, their team's use is not
     * @param leftAlone jobs that another controller is placing, or that wait for more: not booked here now
     * @param gangs whether gangs are planned here
     * @param progress how long tasks have been under way, as far as known here
     */
    public record Snapshot(
            Instant now,
            List<JobRecord> jobs,
            List<Host> hosts,
            Map<String, Settings.Team> teams,
            Map<String, Place> whereabouts,
            Set<Market> refused,
            ToIntFunction<JobRecord> mostTasks,
            Set<Ended> ended,
            Set<String> leftAlone,
            boolean gangs,
            List<Headroom.Phantom> phantoms,
            Targets targets,
            Function<Started, Duration> progress) {}

    /** A claim whose task has ended. */
    public record Ended(String job, int task, long base) {}

    /** Tasks of a job that were booked together. */
    public record Started(String job, long base) {}

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

    /**
     * The outcome.
     *
     * @param reasons why a job waits
     * @param wantedHosts machines that something is planned on
     * @param gangHosts those of them that gangs are planned on
     */
    public record Plan(
            List<Booking> bookings,
            List<Eviction> evictions,
            List<Shortfall> shortfalls,
            Map<String, String> reasons,
            Set<String> wantedHosts,
            Set<String> gangHosts) {
        public static final Plan NONE = new Plan(List.of(), List.of(), List.of(), Map.of(), Set.of(), Set.of());
    }

    /** Works out a plan. */
    public static Plan plan(Snapshot s) {
        return new Work(s).run();
    }

    /** What each team's claims take, cancelled jobs' included: their tasks still count until they are gone. */
    public static Map<String, Resources> use(Iterable<JobRecord> jobs) {
        var use = new HashMap<String, Resources>();
        for (JobRecord j : jobs) {
            j.spec()
                    .ifPresent(spec -> use.merge(
                            spec.team(), spec.perTask().times(j.claims().size()), Resources::plus));
        }
        return use;
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

    /** A machine's room while the plan is made. */
    private static final class Slot {
        final Host host;
        Resources free;
        /** Room of tasks that are being stopped. */
        Resources ending = Resources.NONE;
        /** Promised to a gang before its room is free: nothing can be booked there yet. */
        boolean later;
        /** Tasks that may have to give way, the latest booked first: they have least to lose. */
        final ArrayList<Victim> victims = new ArrayList<>(2);

        double score;

        Slot(Host host) {
            this.host = host;
            this.free = host.size();
        }

        boolean bookable() {
            return host.up() && !later;
        }
    }

    private record Victim(JobRecord job, Claim claim) {}

    private static final class Work {
        private static final int MOST_COUNTED = 64;
        /** What a fetch counts for, and how much of a task's work at most, when it is chosen who gives way. */
        private static final Duration FETCH_COST = Duration.ofSeconds(20);

        private static final Duration MOST_LOST = Duration.ofSeconds(120);
        private static final int LOST_CAUSE = 1000;
        /** Gangs behind others of their team that machines are looked for already. */
        private static final int MOST_AHEAD = 12;

        private static final Duration BEGIN_WITHIN = Duration.ofSeconds(120);
        /** A gang that has waited so long for its team's limit is not overtaken by the team's later work any more. */
        private static final Duration OVERTAKEN_AT_MOST = Duration.ofSeconds(20);

        private final Snapshot s;
        private final List<Slot> slots = new ArrayList<>();
        private final Map<String, Resources> use;
        private final List<Booking> bookings = new ArrayList<>();
        private final List<Eviction> evictions = new ArrayList<>();
        private final List<Shortfall> shortfalls = new ArrayList<>();
        private final Map<String, String> reasons = new LinkedHashMap<>();
        private final Set<String> wanted = new HashSet<>();
        private final Set<String> gangHosts = new HashSet<>();
        private final Set<String> guaranteed;
        /** What unplaced tasks would add to their team's use; bounds renting, but keeps no other job from being placed. */
        private final Map<String, Resources> pending = new HashMap<>();
        /** Array jobs that left no room which one more of their tasks would fit into; room only shrinks while arrays are planned. */
        private final List<Submission> fullFor = new ArrayList<>();
        /** Tasks by job whose end is stored along with the job's next placement; they take no more of its record. */
        private final Map<String, Integer> endedOf = new HashMap<>();
        /** What a team's waiting gang needs of the limit, kept free of later work. */
        private final Map<String, Resources> reserved = new HashMap<>();

        Work(Snapshot s) {
            this.s = s;
            this.use = use(s.jobs());
            this.guaranteed = guaranteed(s.jobs(), s.teams());
            var byId = new HashMap<String, Slot>(s.hosts().size() * 2);
            for (Host h : s.hosts()) {
                var slot = new Slot(h);
                slots.add(slot);
                byId.put(h.id(), slot);
            }
            for (JobRecord j : s.jobs()) {
                for (Claim c : j.claims()) {
                    Slot slot = byId.get(c.host());
                    boolean ended = !s.ended().isEmpty() && s.ended().contains(new Ended(j.id(), c.task(), c.base()));
                    if (ended) {
                        endedOf.merge(j.id(), 1, Integer::sum);
                    }
                    if (slot == null || ended) {
                        continue;
                    }
                    Resources one = j.job().perTask();
                    slot.free = slot.free.minus(one);
                    if (c.stopping() || !j.open() || j.mode() == JobRecord.Mode.STOP) {
                        slot.ending = slot.ending.plus(one);
                    } else if (!j.job().gang()) {
                        slot.victims.add(0, new Victim(j, c));
                    }
                }
            }
        }

        Plan run() {
            // A gang whose placeholders are all booked has left placement: its whole ask counts as use by then.
            // A gang of one never holds partial room, so it does not queue for placement either.
            var heads = new HashMap<String, JobRecord>();
            for (JobRecord j : s.jobs()) {
                // Nor does one that pauses after its tasks failed: it would keep its team's other gangs waiting for as
                // long as it fails.
                boolean pauses = j.mode() == JobRecord.Mode.IDLE
                        && j.notBefore().filter(t -> t.isAfter(s.now())).isPresent();
                if (j.open() && j.job().gang() && j.job().tasks() > 1 && j.unplacedCount() > 0 && !pauses) {
                    heads.merge(j.job().team(), j, (a, b) -> earlier(a, b) ? a : b);
                }
            }
            heads.forEach((team, head) -> {
                boolean waited = Duration.between(head.arrived(), s.now()).compareTo(OVERTAKEN_AT_MOST) > 0;
                if (waited
                        && head.mode() == JobRecord.Mode.IDLE
                        && !teamAllows(head.job(), head.job().tasks())) {
                    reserved.put(team, head.job().wholeAsk());
                }
            });
            var ordered = new ArrayList<>(s.jobs());
            ordered.removeIf(j -> !j.open()
                    || j.unplacedCount() == 0
                    || !s.gangs() && (j.job().gang() || s.leftAlone().contains(j.id())));
            var ranks = new HashMap<String, Rank>();
            ordered.forEach(j -> ranks.put(j.id(), rank(j)));
            // The oldest unfinished jobs are what counts as guaranteed first; those that are late anyway must not push
            // others past their time too.
            ordered.sort(Comparator.comparing((JobRecord j) -> j.job().priority(), Comparator.reverseOrder())
                    .thenComparing(j -> ranks.get(j.id()).tier() == LOST_CAUSE)
                    .thenComparing(j -> !guaranteed.contains(j.id()))
                    .thenComparing(j -> ranks.get(j.id()))
                    .thenComparing(JobRecord::id));
            var kept = new HashMap<String, Integer>();
            var alike = new ArrayList<ArrayWork>();
            var queued = new ArrayList<JobRecord>();
            JobRecord before = null;
            for (JobRecord j : ordered) {
                if (before != null && !equalStanding(before, j, ranks)) {
                    arrays(alike);
                    alike.clear();
                }
                before = j;
                if (!j.job().gang()) {
                    // Room that gangs will need within seconds is not filled with lower work that would have to give
                    // way again.
                    s.phantoms().stream()
                            .filter(p ->
                                    p.job().job().priority().compareTo(j.job().priority()) > 0)
                            .forEach(p -> kept.computeIfAbsent(p.job().id(), id -> reserve(p)));
                }
                if (j.notBefore().isPresent() && j.notBefore().get().isAfter(s.now())) {
                    reasons.put(
                            j.id(),
                            "its tasks fail or were refused; tried again at "
                                    + j.notBefore().get());
                } else if (j.job().gang()) {
                    JobRecord head = heads.get(j.job().team());
                    boolean single = j.job().tasks() == 1
                            && (head == null || teamAllows(head.job(), head.unplacedCount()) || earlier(j, head));
                    if (head == j || single) {
                        gang(j);
                    } else {
                        reasons.put(j.id(), "behind gang " + head.id() + " of its team");
                        queued.add(j);
                    }
                } else {
                    alike.add(new ArrayWork(j));
                }
            }
            arrays(alike);
            queued.stream().limit(MOST_AHEAD).forEach(this::ahead);
            s.phantoms().forEach(p -> spare(p.job(), kept.getOrDefault(p.job().id(), 0)));
            return new Plan(bookings, evictions, shortfalls, reasons, wanted, gangHosts);
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

        /** Where a job stands among those of its priority: tier, then the lesser key. */
        private record Rank(int tier, long key) implements Comparable<Rank> {
            @Override
            public int compareTo(Rank o) {
                return tier != o.tier ? Integer.compare(tier, o.tier) : Long.compare(key, o.key);
            }
        }

        /**
         * Gangs go in the order they came. Arrays that can still meet the first time they are measured by go least work first,
         * so that most of them meet it when not all can; then those that can meet a later one, then lost causes. One that
         * has waited long without any task begun goes first: the largest must begin too.
         */
        private Rank rank(JobRecord j) {
            Submission job = j.job();
            if (job.gang()) {
                return new Rank(0, j.arrived().toEpochMilli());
            }
            if (j.claims().isEmpty()
                    && j.next() == 0
                    && Duration.between(j.arrived(), s.now()).compareTo(BEGIN_WITHIN) > 0) {
                return new Rank(0, j.arrived().toEpochMilli());
            }
            List<Duration> ends = s.targets().all(job);
            Duration atBest = job.estimate().multipliedBy(7).dividedBy(10);
            long work = job.estimate().multipliedBy(j.unplacedCount()).toMillis();
            int tier = 1;
            for (Duration end : ends) {
                if (!s.now().plus(atBest).isAfter(j.arrived().plus(end))) {
                    return new Rank(tier, work);
                }
                tier++;
            }
            return ends.isEmpty()
                    ? new Rank(1, work)
                    : new Rank(LOST_CAUSE, j.arrived().toEpochMilli());
        }

        private boolean teamAllows(Submission job, int tasks) {
            return withinLimit(job, Resources.NONE, tasks);
        }

        private boolean withinLimit(Submission job, Resources besides, int tasks) {
            Settings.Team team = s.teams().get(job.team());
            return team != null
                    && team.withinLimit(use.getOrDefault(job.team(), Resources.NONE)
                            .plus(besides)
                            .plus(job.perTask().times(tasks)));
        }

        /** How many more tasks the team's limit leaves room for. */
        private int allowed(Submission job, Resources besides, int most) {
            int low = 0;
            int high = most;
            while (low < high) {
                int middle = (low + high + 1) >>> 1;
                if (withinLimit(job, besides, middle)) {
                    low = middle;
                } else {
                    high = middle - 1;
                }
            }
            return low;
        }

        private void take(Submission job, Slot slot) {
            slot.free = slot.free.minus(job.perTask());
            use.merge(job.team(), job.perTask(), Resources::plus);
            wanted.add(slot.host.id());
            if (job.gang()) {
                gangHosts.add(slot.host.id());
            }
        }

        /** Machines that the job may use, wherever its zone rules lead it. */
        private List<Slot> candidates(Submission job) {
            var list = new ArrayList<Slot>();
            String zone = job.zone().orElse(null);
            List<String> types = job.types().orElse(null);
            for (Slot slot : slots) {
                Host h = slot.host;
                if ((job.spot() || !h.spot())
                        && (zone == null || zone.equals(h.zone()))
                        && (types == null || types.contains(h.type()))) {
                    list.add(slot);
                }
            }
            return list;
        }

        /** Of some machines those with room, the best first. */
        private List<Slot> roomy(Submission job, Collection<Slot> candidates, Zones zones, boolean upOnly) {
            var list = new ArrayList<Slot>();
            for (Slot slot : candidates) {
                if ((!upOnly || slot.host.up()) && job.perTask().fitsIn(slot.free) && zones.allows(slot.host)) {
                    slot.score = score(job, slot);
                    list.add(slot);
                }
            }
            list.sort((a, b) -> Double.compare(b.score, a.score));
            return list;
        }

        /** Up before booting, a fetched image before a cheap kind, cheap kinds before dear ones, full before empty. */
        private static double score(Submission job, Slot slot) {
            Host h = slot.host;
            double fill = h.size().gpus() > 0
                    ? 1 - slot.free.gpus() / h.size().gpus()
                    : 1 - slot.free.cpus() / Math.max(1e-9, h.size().cpus());
            return (h.up() ? 8 : 0)
                    + (h.spot() && job.spot() ? 2 : 0)
                    + (h.images().contains(job.image()) ? 3 : 0)
                    + fill;
        }

        private boolean equalStanding(JobRecord a, JobRecord b, Map<String, Rank> ranks) {
            return a.job().gang() == b.job().gang()
                    && a.job().priority() == b.job().priority()
                    && guaranteed.contains(a.id()) == guaranteed.contains(b.id())
                    && ranks.get(a.id()).tier() == ranks.get(b.id()).tier();
        }

        /** An array while its tasks are placed. */
        private final class ArrayWork {
            final JobRecord record;
            final Submission job;
            final Resources kept;
            final Zones zones;
            final IntIterator order;
            final int unplaced;
            final int most;
            final Map<Integer, String> places = new LinkedHashMap<>();
            int placed;

            ArrayWork(JobRecord j) {
                record = j;
                job = j.job();
                kept = reserved.getOrDefault(job.team(), Resources.NONE);
                zones = new Zones(j);
                unplaced = j.unplacedCount();
                most = Math.min(
                        unplaced,
                        Math.max(0, s.mostTasks().applyAsInt(j) - j.claims().size() + endedOf.getOrDefault(j.id(), 0)));
                order = j.unplaced(most).iterator();
            }

            int left() {
                return Work.this.allowed(job, kept, most - placed);
            }
        }

        /**
         * Places arrays that stand alike: each first where its image is, in their order, and only then where it must be fetched.
         * With machines full, a free place goes to whoever has the image there, and fewer of them fetch.
         */
        private void arrays(List<ArrayWork> alike) {
            alike.forEach(w -> place(w, true));
            alike.forEach(w -> place(w, false));
            alike.forEach(this::conclude);
        }

        private void place(ArrayWork w, boolean withImage) {
            int left = w.left();
            if (left == 0 || full(w.job)) {
                return;
            }
            List<Slot> candidates = candidates(w.job);
            if (withImage) {
                candidates.removeIf(slot -> !slot.host.images().contains(w.job.image()));
            }
            for (Slot slot : roomy(w.job, candidates, w.zones, withImage)) {
                while (left > 0 && w.job.perTask().fitsIn(slot.free) && w.zones.allows(slot.host)) {
                    int task = w.order.nextInt();
                    left--;
                    w.placed++;
                    take(w.job, slot);
                    w.zones.add(slot.host.zone());
                    if (slot.bookable()) {
                        w.places.put(task, slot.host.id());
                    } else {
                        reasons.putIfAbsent(w.record.id(), "waits for machines that are booting");
                    }
                }
            }
            if (left > 0 && !withImage) {
                fullFor.add(w.job);
            }
        }

        private void conclude(ArrayWork w) {
            if (!w.places.isEmpty() && !s.leftAlone().contains(w.record.id())) {
                bookings.add(new Booking(w.record, w.places));
            }
            int allowed = w.left();
            if (w.placed + allowed < w.unplaced) {
                reasons.put(
                        w.record.id(),
                        w.placed + allowed == w.most
                                ? "as many of its tasks are under way as its record takes"
                                : "its team's limit is used up");
            }
            int waiting = allowed(w.job, w.kept.plus(pending.getOrDefault(w.job.team(), Resources.NONE)), allowed);
            if (waiting > 0) {
                pending.merge(w.job.team(), w.job.perTask().times(waiting), Resources::plus);
                reasons.putIfAbsent(w.record.id(), "no room on machines it may use");
                shortfalls.add(new Shortfall(w.record, waiting, w.zones.only));
            }
        }

        /** Whether an earlier job that asked for no more, and could go wherever this one can, already found no room left. */
        private boolean full(Submission job) {
            for (Submission f : fullFor) {
                boolean asWide = (f.spot() || !job.spot())
                        && !f.sameZone()
                        && !f.spread()
                        && (f.zone().isEmpty() || f.zone().equals(job.zone()))
                        && (f.types().isEmpty()
                                || job.types().isPresent()
                                        && f.types()
                                                .get()
                                                .containsAll(job.types().get()));
                if (asWide && f.perTask().fitsIn(job.perTask())) {
                    return true;
                }
            }
            return false;
        }

        /** Keeps free room on machines that are up for what is likely to come within seconds; tells how many tasks' worth. */
        private int reserve(Headroom.Phantom p) {
            Submission job = p.job().job();
            int left = p.soon();
            if (left > 0) {
                // Wherever it is: which zone the next job wants, or finds most room in, is not known.
                for (Slot slot : roomy(job, candidates(job), new Zones(job), true)) {
                    while (left > 0 && job.perTask().fitsIn(slot.free)) {
                        slot.free = slot.free.minus(job.perTask());
                        wanted.add(slot.host.id());
                        left--;
                    }
                }
            }
            return p.soon() - left;
        }

        /**
         * Asks for the machines of a gang that queues behind another of its team. It places nothing before its turn; but if machines were
         * only rented then, each gang of a burst would wait for the boot of its own.
         */
        private void ahead(JobRecord j) {
            Submission job = j.job();
            int missing = j.unplacedCount();
            if (!withinLimit(job, pending.getOrDefault(job.team(), Resources.NONE), missing)) {
                return; // its turn is not near
            }
            keepRoom(j, missing, candidates(job));
            pending.merge(job.team(), job.wholeAsk(), Resources::plus);
        }

        /** Keeps or asks for room for a typical job that has not come yet; it is wanted, but nothing is booked or evicted. */
        private void spare(JobRecord phantom, int kept) {
            int missing = phantom.job().tasks() - kept;
            if (missing > 0) {
                keepRoom(phantom, missing, roomy(phantom.job(), candidates(phantom.job()), new Zones(phantom), false));
            }
        }

        /** Keeps room on some machines, in their order, and asks for more where they have too little. */
        private void keepRoom(JobRecord j, int tasks, List<Slot> machines) {
            var zones = new Zones(j);
            Resources one = j.job().perTask();
            int missing = tasks;
            for (Slot slot : machines) {
                while (missing > 0 && one.fitsIn(slot.free) && zones.allows(slot.host)) {
                    slot.free = slot.free.minus(one);
                    wanted.add(slot.host.id());
                    zones.add(slot.host.zone());
                    missing--;
                }
                if (missing == 0) {
                    return;
                }
            }
            shortfalls.add(new Shortfall(j, missing, zones.only));
        }

        /** Where a job's tasks may still go, given where they are: one zone for all, or at most half in each. */
        private final class Zones {
            private final Submission job;
            private final int most;
            private final Map<String, Integer> taken = new HashMap<>();
            private Optional<String> only;

            /** Any zone that the job names, without regard to where its tasks are. */
            Zones(Submission job) {
                this.job = job;
                most = Integer.MAX_VALUE;
                only = job.zone();
            }

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
                    only = taken.isEmpty()
                            ? zoneFor(j, j.unplacedCount())
                            : taken.keySet().stream().findFirst();
                }
            }

            boolean allows(Host h) {
                return (only.isEmpty() || only.get().equals(h.zone()))
                        && (most == Integer.MAX_VALUE || taken.getOrDefault(h.zone(), 0) < most);
            }

            void add(String zone) {
                taken.merge(zone, 1, Integer::sum);
                if (job.sameZone() && only.isEmpty()) {
                    only = Optional.of(zone);
                }
            }
        }

        private void gang(JobRecord j) {
            Submission job = j.job();
            int missing = j.unplacedCount();
            if (!teamAllows(job, missing)) {
                reasons.put(j.id(), "its team's unused limit does not cover the whole gang");
                return;
            }
            var zones = new Zones(j);
            var candidates = withImages(j, candidates(job), zones, missing);
            var places = new LinkedHashMap<Integer, String>();
            var order = j.unplaced(missing).iterator();
            int left = fill(j, roomy(job, candidates, zones, true), zones, order, missing, places);
            // Lower work gives way before the gang waits for a machine to boot; that machine then takes the lower work.
            if (left > 0) {
                left = evict(j, candidates, zones, left);
            }
            if (left > 0) {
                left = fill(j, roomy(job, candidates, zones, false), zones, order, left, places);
            }
            if (left > 0) {
                reasons.put(
                        j.id(),
                        "no room for " + left + " of " + job.tasks() + " members"
                                + zones.only.map(z -> " in zone " + z).orElse(""));
                shortfalls.add(new Shortfall(j, left, zones.only));
                pending.merge(job.team(), job.perTask().times(left), Resources::plus);
            }
            if (!places.isEmpty()) {
                bookings.add(new Booking(j, places));
            }
        }

        /**
         * A gang starts with its last member, so one fetch delays them all: where machines that have the image can take all of
         * it, if need be by lower work giving way, only those are looked at; otherwise it makes no difference who fetches.
         */
        private List<Slot> withImages(JobRecord j, List<Slot> candidates, Zones zones, int missing) {
            var fetched = new ArrayList<Slot>();
            int room = 0;
            for (Slot slot : candidates) {
                if (slot.host.up()
                        && zones.allows(slot.host)
                        && slot.host.images().contains(j.job().image())) {
                    fetched.add(slot);
                    room += room < missing ? fitCount(j.job().perTask(), withVictims(slot, j), missing) : 0;
                }
            }
            return room >= missing && !j.job().spread() ? fetched : candidates;
        }

        private int fill(
                JobRecord j,
                List<Slot> roomy,
                Zones zones,
                java.util.Iterator<Integer> order,
                int members,
                Map<Integer, String> places) {
            Submission job = j.job();
            int left = members;
            for (Slot slot : roomy) {
                while (left > 0 && job.perTask().fitsIn(slot.free) && zones.allows(slot.host)) {
                    take(job, slot);
                    zones.add(slot.host.zone());
                    left--;
                    if (slot.bookable()) {
                        places.put(order.next(), slot.host.id());
                    } else {
                        reasons.putIfAbsent(j.id(), "waits for machines that are booting");
                    }
                }
            }
            return left;
        }

        /** The zone that serves most of the gang now, then by lower work giving way, then soon. */
        private Optional<String> zoneFor(JobRecord j, int missing) {
            Submission job = j.job();
            var rooms = new HashMap<String, int[]>();
            for (Slot slot : candidates(job)) {
                int fits = fitCount(job.perTask(), slot.free, Math.min(MOST_COUNTED, missing));
                int[] room = rooms.computeIfAbsent(slot.host.zone(), z -> new int[4]);
                if (!slot.host.up()) {
                    room[2] += fits;
                    continue;
                }
                int freed = slot.victims.isEmpty() && slot.ending == Resources.NONE
                        ? 0
                        : fitCount(job.perTask(), withVictims(slot, j), Math.min(MOST_COUNTED, missing)) - fits;
                room[0] += fits;
                room[1] += freed;
                room[3] += slot.host.images().contains(job.image()) ? fits + freed : 0;
            }
            String best = null;
            double bestScore = 0;
            for (Map.Entry<String, int[]> e : new java.util.TreeMap<>(rooms).entrySet()) {
                int[] room = e.getValue();
                int now = Math.min(missing, room[0]);
                int freed = Math.min(missing - now, room[1]);
                int soon = Math.min(missing - now - freed, room[2]);
                double score =
                        3 * now + 2 * freed + soon + (room[3] >= missing ? 1.5 : 0.1) * Math.min(missing, room[3]);
                for (Market m : s.refused()) {
                    score -= m.zone().equals(e.getKey()) && !m.spot() ? 0.5 * (missing - now - freed - soon) + 0.1 : 0;
                }
                if (score > bestScore) {
                    best = e.getKey();
                    bestScore = score;
                }
            }
            return Optional.ofNullable(best);
        }

        private static Resources withVictims(Slot slot, JobRecord j) {
            Resources r = slot.free.plus(slot.ending);
            for (Victim v : slot.victims) {
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
        private static boolean mayEvict(JobRecord j, Victim v) {
            return v.job().job().priority().compareTo(j.job().priority()) < 0;
        }

        private record Way(Slot slot, List<Victim> victims, long cost) {}

        /** How one member finds room on a machine; empty if no lower work there makes any. */
        private Optional<Way> way(JobRecord j, Slot slot) {
            if (slot.victims.isEmpty() && slot.ending == Resources.NONE) {
                return Optional.empty();
            }
            Resources one = j.job().perTask();
            Resources free = slot.free.plus(slot.ending);
            var chosen = new ArrayList<Victim>(2);
            for (Victim v : slot.victims) {
                if (one.fitsIn(free)) {
                    break;
                }
                if (mayEvict(j, v)) {
                    chosen.add(v);
                    free = free.plus(v.job().job().perTask());
                }
            }
            if (!one.fitsIn(free)) {
                return Optional.empty();
            }
            // Tasks already being stopped cost nothing more; a second machine must not be emptied beside them.
            long cost =
                    chosen.isEmpty() ? -1 : slot.host.images().contains(j.job().image()) ? 0 : FETCH_COST.toMillis();
            for (Victim v : chosen) {
                cost += 1000 + lost(v).toMillis();
            }
            return Optional.of(new Way(slot, chosen, cost));
        }

        /** The work that stopping a task throws away: what it did since it started, or since it last saved. */
        private Duration lost(Victim v) {
            Duration done =
                    s.progress().apply(new Started(v.job().id(), v.claim().base()));
            Duration kept = v.job().job().saves() ? v.job().job().checkpointEvery() : MOST_LOST;
            return done.compareTo(kept) > 0 ? kept : done;
        }

        /** Makes room where lower tasks lose least by giving way; a fetch counts as some more loss. */
        private int evict(JobRecord j, List<Slot> candidates, Zones zones, int members) {
            var ways =
                    new PriorityQueue<Way>(Comparator.comparingLong(Way::cost).thenComparing(w -> w.slot.host.id()));
            for (Slot slot : candidates) {
                if (slot.host.up() && zones.allows(slot.host)) {
                    way(j, slot).ifPresent(ways::add);
                }
            }
            int left = members;
            while (left > 0 && !ways.isEmpty()) {
                Way w = ways.poll();
                if (!zones.allows(w.slot.host)) {
                    continue;
                }
                w.slot.later = true;
                w.slot.free = w.slot.free.plus(w.slot.ending);
                w.slot.ending = Resources.NONE;
                for (Victim v : w.victims) {
                    evictions.add(new Eviction(v.job(), v.claim(), j.id()));
                    w.slot.victims.remove(v);
                    w.slot.free = w.slot.free.plus(v.job().job().perTask());
                }
                take(j.job(), w.slot);
                zones.add(w.slot.host.zone());
                left--;
                reasons.putIfAbsent(j.id(), "waits for lower work to give way on " + w.slot.host.id());
                way(j, w.slot).ifPresent(ways::add);
            }
            return left;
        }
    }
}
