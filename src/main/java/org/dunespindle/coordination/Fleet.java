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
import java.util.function.Supplier;
import org.dunespindle.bookkeeping.HostRecord;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.bookkeeping.Keys;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.bookkeeping.TxnResult;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: what to rent, what to give back, and what the list says. */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final Duration LIST_EVERY = Duration.ofSeconds(4);
    private static final Duration NO_CAPACITY_PAUSE = Duration.ofSeconds(6);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(25);
    private static final Duration RETRY = Duration.ofMillis(700);
    private static final Duration REMEMBER_GONE = Duration.ofSeconds(300);
    private static final Duration TELL_EVERY = Duration.ofSeconds(10);
    private static final Duration EARLY = Duration.ofSeconds(15);
    private static final Duration FETCH_ALLOWANCE = Duration.ofSeconds(12);
    /** Most machines are up by then; on the others nothing is planned any more. */
    private static final int LATE_BOOT_TENTHS = 16;

    private static final Duration SURE_OF_LIST = Duration.ofSeconds(2);
    private static final Duration RUNS_UNHEARD = Duration.ofSeconds(20);
    private static final Duration JUDGE_EVERY = Duration.ofMillis(900);
    private static final int SMALL_FLEET = 30;
    private static final Duration LEAST_IDLE = Duration.ofSeconds(8);
    private static final int MOST_SLOTS = 128;
    private static final int MOST_RETURNED = 100;
    private static final int MOST_RENTED = 50;
    private static final Duration QUARANTINE = Duration.ofSeconds(15);
    private static final String FAILS = "it fails its tasks";
    private final Settings settings;
    private final Replica replica;
    private final Membership membership;
    private final MachineEdits edits;
    private final HostDesk hostDesk;
    private final CloudClient cloud;
    private final Timeline timeline;
    private final Sessions sessions;
    private final Peers peers;
    private final Decisions decisions;
    private final Targets targets;
    private final StallDetector stalls;
    private final FailureDetector failures;
    private final Faults faults;
    private final Supplier<Options> options;
    private final Supplier<Optional<List<MachineType>>> catalog;
    private final Map<Planner.Market, Refusal> refusals = new HashMap<>();
    private final Map<String, Duration> goneAt = new HashMap<>();
    private final Map<String, Duration> idleSince = new HashMap<>();
    private final Map<String, Duration> firstSeen = new HashMap<>();
    private final Map<String, Duration> quarantinedSince = new HashMap<>();
    /** Machines rented here whose records are not stored yet; nothing more is rented until they count as room. */
    private final Map<String, Runnable> unrecorded = new LinkedHashMap<>();

    private Map<String, ListedMachine> listed = Map.of();
    private Optional<Duration> leadingSince = Optional.empty();
    private Duration listAgainAt = Duration.ZERO;
    private Duration tellAgainAt = Duration.ZERO;
    private Duration judgeAgainAt = Duration.ZERO;
    private boolean firstOfAll;
    private boolean listing;
    private boolean renting;
    private boolean returning;
    private long charters;
    /** Machines being returned without a word in their record: nobody places anything on what is silent. */
    private final Set<String> dropped = new HashSet<>();

    private record Refusal(Duration until, Duration pause) {}

    public Fleet(
            Settings settings,
            Replica replica,
            Membership membership,
            MachineEdits edits,
            HostDesk hostDesk,
            CloudClient cloud,
            Timeline timeline,
            Sessions sessions,
            Peers peers,
            Decisions decisions,
            Targets targets,
            StallDetector stalls,
            Faults faults,
            Supplier<Options> options,
            Supplier<Optional<List<MachineType>>> catalog) {
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.edits = edits;
        this.hostDesk = hostDesk;
        this.targets = targets;
        this.cloud = cloud;
        this.timeline = timeline;
        this.sessions = sessions;
        this.peers = peers;
        this.decisions = decisions;
        this.stalls = stalls;
        this.faults = faults;
        this.failures = new FailureDetector(
                settings,
                replica,
                membership,
                hostDesk,
                peers,
                sessions,
                timeline,
                stalls,
                id -> Optional.ofNullable(listed.get(id))
                        .map(ListedMachine::address)
                        .filter(a -> !a.isEmpty()));
        this.options = options;
        this.catalog = catalog;
    }

    public Set<Planner.Market> refused() {
        var set = new HashSet<Planner.Market>();
        refusals.forEach((m, r) -> {
            if (r.until.compareTo(timeline.now()) > 0) {
                set.add(m);
            }
        });
        return set;
    }

    /** Machines the cloud confirmed as returned: their claims can be released. */
    public boolean isGone(String host) {
        return goneAt.containsKey(host);
    }

    /** All machines that the cloud confirmed as returned lately. */
    public Set<String> gone() {
        return goneAt.keySet();
    }

    /** Whether a machine that has not reported yet is still worth waiting for. */
    public boolean bootsInTime(HostRecord h) {
        // A controller that has just started has heard nobody yet: that says nothing about the machines.
        return timeline.now().compareTo(EARLY) < 0
                || age(h).compareTo(bootTime(h).multipliedBy(LATE_BOOT_TENTHS).dividedBy(10)) < 0;
    }

    private Duration age(HostRecord h) {
        return Duration.between(h.rented(), timeline.wallTime());
    }

    private Duration bootTime(HostRecord h) {
        return known(h.type()).map(MachineType::boot).orElse(Duration.ofSeconds(60));
    }

    /** When any controller last had a sign of life from a machine that could not be an old copy. */
    public Optional<Duration> heard(HostRecord host) {
        return failures.heard(host);
    }

    /** Whether a machine may take its time: it was rented but nobody has heard it yet. */
    public boolean booting(HostRecord h) {
        return heard(h).isEmpty();
    }

    /** Called with every plan on every controller; only the leader acts. */
    public void tick(Planner.Plan plan) {
        Duration now = timeline.now();
        if (!membership.leads()) {
            standDown();
            return;
        }
        if (leadingSince.isEmpty()) {
            leadingSince = Optional.of(now);
            listAgainAt = now;
            // While no machine is known at all this is the first leader ever, and what the list names is there.
            firstOfAll = replica.hosts().isEmpty();
        }
        goneAt.entrySet()
                .removeIf(e -> now.minus(e.getValue()).compareTo(REMEMBER_GONE) > 0
                        && !replica.hosts().containsKey(e.getKey()));
        list(now);
        if (now.compareTo(judgeAgainAt) >= 0) {
            judgeAgainAt = now.plus(JUDGE_EVERY);
            tellSize(now);
            removeGone();
            judge(now, plan);
            giveBack();
        }
        rent(plan);
    }

    /** This controller does not lead now. What it knew as a leader says nothing once it leads again. */
    void standDown() {
        if (leadingSince.isPresent()) {
            leadingSince = Optional.empty();
            unrecorded.clear();
            firstSeen.clear();
            quarantinedSince.clear();
            idleSince.clear();
            failures.reset();
            dropped.clear();
        }
    }

    private void tellSize(Duration now) {
        if (!LOG.isDebugEnabled() || now.compareTo(tellAgainAt) < 0) {
            return;
        }
        tellAgainAt = now.plus(TELL_EVERY);
        var counts = new java.util.TreeMap<String, Integer>();
        for (HostRecord h : replica.hosts().values()) {
            int claims = replica.claimsOn(h.id()).size();
            String use = heard(h).isEmpty() ? "booting" : h.leaving() ? "leaving" : claims == 0 ? "idle" : "used";
            counts.merge((h.spot() ? "spot " : "ordinary ") + use, 1, Integer::sum);
            counts.merge("tasks", claims, Integer::sum);
        }
        double claimed = 0;
        double holding = 0;
        for (JobRecord j : replica.livingJobs()) {
            claimed += j.job().perTask().gpus() * j.claims().size();
            holding += j.job().gang() && j.mode() != JobRecord.Mode.REAL
                    ? j.job().perTask().gpus() * j.claims().size()
                    : 0;
        }
        double all = replica.hosts().values().stream()
                .mapToDouble(h -> known(h.type()).map(t -> t.size().gpus()).orElse(0.0))
                .sum();
        LOG.debug(
                "fleet: {}, accelerators {} claimed ({} by placeholders) of {}",
                counts,
                Math.round(claimed),
                Math.round(holding),
                Math.round(all));
    }

    private void list(Duration now) {
        if (listing || now.compareTo(listAgainAt) < 0) {
            return;
        }
        listing = true;
        listAgainAt = now.plus(LIST_EVERY);
        cloud.list().whenComplete((machines, failure) -> {
            listing = false;
            if (failure != null || !membership.leads()) {
                return;
            }
            var map = new LinkedHashMap<String, ListedMachine>();
            machines.forEach(m -> map.put(m.id(), m));
            listed = map;
            adopt();
        });
    }

    /**
     * Machines in the list that no record names: rented by a request whose answer was lost, or there from the start. The
     * list lags and may still name what an earlier leader returned, so a new leader waits until it cannot any more.
     */
    private void adopt() {
        Duration sure = settings.cloud().listLag().multipliedBy(2).plus(SURE_OF_LIST);
        if (!firstOfAll
                && timeline.now().minus(leadingSince.orElse(timeline.now())).compareTo(sure) < 0) {
            return;
        }
        for (ListedMachine m : listed.values()) {
            if (!m.failed() && !replica.hosts().containsKey(m.id()) && !isGone(m.id()) && !edits.busy(m.id())) {
                record(
                        m.id(),
                        m.address(),
                        new Planner.Market(m.type(), m.zone(), m.spot()),
                        timeline.wallTime().minus(m.age()),
                        false);
            }
        }
    }

    /** A new machine's record. One that is rented for a gang is the leader's from the start: borrowing it would cost a write more. */
    private void record(String id, String address, Planner.Market market, Instant rented, boolean forGang) {
        String owner = forGang ? settings.nodeName() : membership.hashed(id).orElse(settings.nodeName());
        long inc = membership.incarnationOf(owner).orElse(membership.incarnation());
        long token = sessions.known(id)
                .flatMap(x -> x.report)
                .map(r -> r.token() + 1)
                .orElse(1L);
        var host = new HostRecord(
                id,
                address,
                market.type(),
                market.zone(),
                market.spot(),
                owner,
                inc,
                token,
                rented,
                Instant.EPOCH,
                false,
                "");
        edits.change(Committer.Lane.PLACING, host, r -> {});
    }

    private void removeGone() {
        for (HostRecord h : List.copyOf(replica.hosts().values())) {
            if (isGone(h.id()) && replica.claimsOn(h.id()).isEmpty() && !edits.busy(h.id()) && !edits.crowded()) {
                edits.remove(h.id(), r -> {
                    if (r instanceof TxnResult.Applied) {
                        firstSeen.remove(h.id());
                        quarantinedSince.remove(h.id());
                        failures.forget(h.id());
                        dropped.remove(h.id());
                        idleSince.remove(h.id());
                    }
                });
            }
        }
    }

    private void judge(Duration now, Planner.Plan plan) {
        failures.look(
                leadingSince.orElse(now),
                h -> age(h).compareTo(bootTime(h).multipliedBy(LATE_BOOT_TENTHS).dividedBy(10)) > 0);
        for (HostRecord h : List.copyOf(replica.hosts().values())) {
            if (h.leaving() || isGone(h.id()) || edits.busy(h.id()) || dropped.contains(h.id())) {
                continue;
            }
            boolean idle =
                    replica.claimsOn(h.id()).isEmpty() && !plan.wantedHosts().contains(h.id());
            if (!idle) {
                idleSince.remove(h.id());
            } else {
                idleSince.putIfAbsent(h.id(), now);
            }
            whyLeave(h, now)
                    .filter(why -> !why.equals(HostRecord.IDLE) || !edits.crowded())
                    .ifPresent(why -> {
                        if (why.equals(HostRecord.IDLE) || why.equals(FAILS)) {
                            leave(h, why);
                        } else {
                            drop(h, why);
                        }
                    });
        }
    }

    private Optional<String> whyLeave(HostRecord h, Duration now) {
        ListedMachine row = listed.get(h.id());
        if (row != null && row.failed()) {
            return Optional.of("it failed");
        }
        // In quarantine first: jobs that failed there may turn out to fail elsewhere too.
        boolean fails = peers.machine(h).filter(Peers.Machine::bad).isPresent() || bad(h.id());
        Duration quarantined =
                quarantinedSince.compute(h.id(), (id, since) -> !fails ? null : since == null ? now : since);
        if (quarantined != null && now.minus(quarantined).compareTo(QUARANTINE) > 0) {
            return Optional.of(FAILS);
        }
        Duration silentLimit = options.get().silentBeforeReturn();
        Duration leading = stalls.silence(leadingSince.orElse(now));
        if (heard(h).isEmpty()) {
            Duration seen = now.minus(firstSeen.computeIfAbsent(h.id(), k -> now));
            boolean sure = leading.compareTo(silentLimit.plus(EARLY)) > 0 && !failures.spares(h, leading);
            boolean runs =
                    row != null && row.phase().equals("running") && seen.compareTo(silentLimit.plus(RUNS_UNHEARD)) > 0;
            boolean late =
                    age(h).compareTo(bootTime(h).multipliedBy(options.get().bootPatience())) > 0;
            return !sure || !runs && !late || failures.answersWhenAsked(h)
                    ? Optional.empty()
                    : Optional.of(runs ? "it runs but no controller hears it" : "it did not come up in time");
        }
        Duration silent = failures.of(h, leadingSince.orElse(now));
        if (failures.proven(h, silent, silentLimit)) {
            return Optional.of("it has been silent for " + silent.toSeconds() + " s");
        }
        boolean reports = silent.compareTo(settings.workers().report().multipliedBy(2)) < 0;
        if (membership.owns(h)
                && reports
                && leading.compareTo(silentLimit) > 0
                && hostDesk.oneWayFor(h.id())
                        .filter(d -> d.compareTo(silentLimit) > 0)
                        .isPresent()) {
            return Optional.of("it reports but takes no commands");
        }
        Duration idle = now.minus(idleSince.getOrDefault(h.id(), now));
        return idle.compareTo(idleLimit(h.spot())) > 0 ? Optional.of(HostRecord.IDLE) : Optional.empty();
    }

    /** The more machines there are, the sooner another one is free for the next job, and the less each has to wait for it. */
    private Duration idleLimit(boolean spot) {
        Duration set = options.get().idleBeforeReturn(spot);
        double part = Math.sqrt(
                (double) SMALL_FLEET / Math.max(SMALL_FLEET, replica.hosts().size()));
        Duration limit = Duration.ofMillis((long) (set.toMillis() * part));
        return limit.compareTo(LEAST_IDLE) > 0 ? limit : set.compareTo(LEAST_IDLE) > 0 ? LEAST_IDLE : set;
    }

    /** A machine in quarantine: tasks of different jobs keep failing there, and nothing new is placed on it. */
    public boolean bad(String host) {
        return faults.jobsFailedOn(host) >= options.get().quarantineAfter();
    }

    private void leave(HostRecord h, String why) {
        decisions.tell(LOG, "machine {} is given back: {}", h.id(), why);
        edits.change(Committer.Lane.KEEPING, h.leaving(why), r -> {});
    }

    /**
     * Gives a machine back without storing that first, which during a mass failure saves half of the writes: nobody places
     * anything on a machine that is not heard, and should its owner hear it again at the last moment, what it places there ends with it.
     */
    private void drop(HostRecord h, String why) {
        decisions.tell(LOG, "machine {} is given back: {}", h.id(), why);
        dropped.add(h.id());
    }

    /** Whether a machine is on its way out, though its record may not say so. */
    boolean leaves(HostRecord h) {
        return h.leaving() || dropped.contains(h.id()) || isGone(h.id());
    }

    private void giveBack() {
        if (returning) {
            return;
        }
        var hosts = new ArrayList<String>();
        for (HostRecord h : replica.hosts().values()) {
            // Placements guard the record's stamp: once it says leaving and everything up to it is known, nothing new
            // can come.
            boolean settled = h.leaving() && replica.syncedTo() >= replica.stamp(Keys.host(h.id())) && !isGone(h.id());
            boolean unused = replica.claimsOn(h.id()).isEmpty() || !h.leavesWhenEmpty();
            if ((settled && unused || dropped.contains(h.id()) && !isGone(h.id())) && hosts.size() < MOST_RETURNED) {
                hosts.add(h.id());
            }
        }
        if (hosts.isEmpty()) {
            return;
        }
        returning = true;
        cloud.giveBack(hosts).whenComplete((ok, failure) -> {
            if (failure == null) {
                hosts.forEach(h -> goneAt.put(h, timeline.now()));
                returning = false;
            } else {
                timeline.after(RETRY, () -> returning = false);
            }
        });
    }

    private void recordRented() {
        unrecorded.keySet().removeIf(id -> replica.hosts().containsKey(id) || isGone(id));
        List.copyOf(unrecorded.entrySet()).forEach(e -> {
            if (!edits.busy(e.getKey())) {
                e.getValue().run();
            }
        });
    }

    private void rent(Planner.Plan plan) {
        recordRented();
        if (!unrecorded.isEmpty()
                || renting
                || catalog.get().isEmpty()
                || replica.age().compareTo(Duration.ofSeconds(3)) > 0) {
            return;
        }
        for (Map.Entry<Planner.Market, Need> need : needs(plan).entrySet()) {
            int count = Math.min(MOST_RENTED, need.getValue().count);
            if (count > 0) {
                renting = true;
                request(
                        "r-" + settings.nodeName() + "-" + membership.incarnation() + "-" + ++charters,
                        need.getKey(),
                        count,
                        need.getValue().forGang,
                        4);
                return;
            }
        }
    }

    /** Machines of a market to rent, and whether the first job that needs one is a gang. */
    private static final class Need {
        int count;
        boolean forGang;
        /** Room left on the machine that was counted last. */
        Resources rest = Resources.NONE;
    }

    /** Packs what found no room into machines of the cheapest kinds that may serve it. */
    private Map<Planner.Market, Need> needs(Planner.Plan plan) {
        var needs = new LinkedHashMap<Planner.Market, Need>();
        var perZone = new HashMap<String, Integer>();
        replica.hosts().values().forEach(h -> perZone.merge(h.zone(), 1, Integer::sum));
        var slots = new HashMap<Ask, Integer>();
        Duration queued = runningWork();
        for (Planner.Shortfall gap : plan.shortfalls()) {
            var job = gap.job().job();
            List<Planner.Market> markets = markets(gap, perZone);
            if (!job.gang()) {
                queued = queued.plus(job.estimate().multipliedBy(gap.tasks()));
                keepCheapestIfInTime(gap, markets, queued, slots);
            }
            Optional<Planner.Market> market = markets.stream()
                    .filter(x -> gap.zone().isEmpty() || gap.zone().get().equals(x.zone()))
                    .findFirst();
            if (market.isEmpty()) {
                continue;
            }
            Need need = needs.computeIfAbsent(market.get(), m -> new Need());
            need.forGang |= need.count == 0 && job.gang() && job.tasks() > 1;
            Resources size = type(market.get().type()).size();
            int left = gap.tasks();
            int rest = Planner.fitCount(job.perTask(), need.rest, left);
            need.rest = need.rest.minus(job.perTask().times(rest));
            left -= rest;
            int each = Math.max(1, fits(job.perTask(), market.get().type()));
            if (left > 0) {
                int machines = (left + each - 1) / each;
                need.count += machines;
                need.rest = size.minus(job.perTask().times(left - (machines - 1) * each));
            }
        }
        return needs;
    }

    /** What is left of running array tasks, by estimate: half of each on average. */
    private Duration runningWork() {
        Duration sum = Duration.ZERO;
        for (JobRecord j : replica.livingJobs()) {
            if (j.open() && !j.job().gang()) {
                sum = sum.plus(
                        j.job().estimate().multipliedBy(j.claims().size()).dividedBy(2));
            }
        }
        return sum;
    }

    /** Work that ends in time even if it queues for the cheapest kind is not worth a dear machine. */
    private void keepCheapestIfInTime(
            Planner.Shortfall gap, List<Planner.Market> markets, Duration queued, Map<Ask, Integer> known) {
        var job = gap.job().job();
        Optional<Duration> target = targets.nearest(job);
        if (target.isEmpty()) {
            return;
        }
        int slots = known.computeIfAbsent(new Ask(job.spot(), job.perTask(), job.types()), this::slots);
        if (slots == 0) {
            return;
        }
        Duration end = Duration.between(gap.job().arrived(), timeline.wallTime())
                .plus(queued.dividedBy(slots))
                .plus(job.estimate().multipliedBy(4).dividedBy(3))
                .plus(FETCH_ALLOWANCE);
        if (end.compareTo(target.get().multipliedBy(4).dividedBy(5)) < 0) {
            double cheapest = catalog.get().orElse(List.of()).stream()
                    .filter(t -> job.types().map(a -> a.contains(t.name())).orElse(true))
                    .mapToDouble(t -> t.price(job.spot()))
                    .min()
                    .orElse(0);
            markets.removeIf(m -> type(m.type()).price(m.spot()) > cheapest * 1.2);
        }
    }

    /** What jobs alike ask of a machine. */
    private record Ask(boolean spot, Resources perTask, Optional<List<String>> types) {}

    /** Tasks that fit on all machines of the cheapest kind that the job may use. */
    private int slots(Ask ask) {
        var perType = new HashMap<String, Integer>();
        int slots = 0;
        for (HostRecord h : replica.hosts().values()) {
            if (h.spot() == ask.spot
                    && !h.leaving()
                    && (ask.types.isEmpty() || ask.types.get().contains(h.type()))) {
                slots += perType.computeIfAbsent(h.type(), t -> fits(ask.perTask, t));
            }
        }
        return slots;
    }

    private int fits(Resources one, String typeName) {
        return Planner.fitCount(one, known(typeName).map(MachineType::size).orElse(Resources.NONE), MOST_SLOTS);
    }

    private Optional<MachineType> known(String name) {
        return catalog.get()
                .flatMap(types ->
                        types.stream().filter(t -> t.name().equals(name)).findFirst());
    }

    private MachineType type(String name) {
        return known(name).orElseThrow();
    }

    /** Allowed markets that were not refused lately, cheapest first, then the zone with fewest machines. */
    private List<Planner.Market> markets(Planner.Shortfall gap, Map<String, Integer> perZone) {
        var job = gap.job().job();
        Set<Planner.Market> refused = refused();
        var list = new ArrayList<Planner.Market>();
        for (MachineType t : catalog.get().orElse(List.of())) {
            if (!job.types().map(a -> a.contains(t.name())).orElse(true)
                    || !job.perTask().fitsIn(t.size())) {
                continue;
            }
            for (String z : t.zones()) {
                for (boolean spot : job.spot() ? new boolean[] {true, false} : new boolean[] {false}) {
                    var m = new Planner.Market(t.name(), z, spot);
                    if (job.zone().map(z::equals).orElse(true) && !refused.contains(m)) {
                        list.add(m);
                    }
                }
            }
        }
        list.sort(
                Comparator.comparingDouble((Planner.Market m) -> type(m.type()).price(m.spot()))
                        .thenComparing(m -> perZone.getOrDefault(m.zone(), 0)));
        return list;
    }

    private void request(String charter, Planner.Market market, int count, boolean forGang, int tries) {
        cloud.rent(charter, market, count).whenComplete((rented, failure) -> {
            if (failure != null) {
                // Its answer may be lost, so the same charter is sent again; what it rents all the same shows in the
                // list.
                timeline.after(RETRY, () -> {
                    if (tries > 1 && membership.leads()) {
                        request(charter, market, count, forGang, tries - 1);
                    } else {
                        renting = false;
                    }
                });
                return;
            }
            renting = false;
            if (rented.noCapacity() || rented.hosts().size() < count) {
                refuse(market);
            } else {
                refusals.remove(market);
            }
            if (!rented.hosts().isEmpty()) {
                decisions.tell(
                        LOG,
                        "rented {} of {} in {} ({})",
                        rented.hosts().size(),
                        market.type(),
                        market.zone(),
                        market.spot() ? "spot" : "ordinary");
                Instant at = timeline.wallTime();
                rented.hosts().forEach(id -> unrecorded.put(id, () -> record(id, "", market, at, forGang)));
                recordRented();
            }
        });
    }

    private void refuse(Planner.Market market) {
        Duration pause = Optional.ofNullable(refusals.get(market))
                .map(r -> r.pause.multipliedBy(2))
                .orElse(NO_CAPACITY_PAUSE);
        if (pause.compareTo(LONGEST_PAUSE) > 0) {
            pause = LONGEST_PAUSE;
        }
        refusals.put(market, new Refusal(timeline.now().plus(pause), pause));
        decisions.tell(
                LOG,
                "no more {} in {} ({}); asked again in {} s",
                market.type(),
                market.zone(),
                market.spot() ? "spot" : "ordinary",
                pause.toSeconds());
    }
}
