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
import org.dunespindle.bookkeeping.Txn;
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
    private static final Duration REMEMBER_GONE = Duration.ofSeconds(90);
    private static final Duration TELL_EVERY = Duration.ofSeconds(10);
    private static final Duration EARLY = Duration.ofSeconds(15);
    private static final Duration FETCH_ALLOWANCE = Duration.ofSeconds(12);
    private static final int MOST_SLOTS = 128;
    private static final int MOST_RETURNED = 100;
    private final Settings settings;
    private final Replica replica;
    private final Membership membership;
    private final Committer committer;
    private final CloudClient cloud;
    private final Timeline timeline;
    private final Sessions sessions;
    private final Peers peers;
    private final Decisions decisions;
    private final Supplier<Options> options;
    private final Supplier<Optional<List<MachineType>>> catalog;
    private final Map<Planner.Market, Refusal> refusals = new HashMap<>();
    private final Map<String, Duration> goneAt = new HashMap<>();
    private final Map<String, Duration> idleSince = new HashMap<>();
    private final Map<String, Duration> firstSeen = new HashMap<>();
    private Map<String, ListedMachine> listed = Map.of();
    private Optional<Duration> leadingSince = Optional.empty();
    private Duration listAgainAt = Duration.ZERO;
    private Duration tellAgainAt = Duration.ZERO;
    private boolean listing;
    private boolean renting;
    private boolean returning;
    private long charters;

    private record Refusal(Duration until, Duration pause) {}

    public Fleet(Settings settings, Replica replica, Membership membership, Committer committer, CloudClient cloud, Timeline timeline, Sessions sessions, Peers peers,
            Decisions decisions, Supplier<Options> options, Supplier<Optional<List<MachineType>>> catalog) {
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.committer = committer;
        this.cloud = cloud;
        this.timeline = timeline;
        this.sessions = sessions;
        this.peers = peers;
        this.decisions = decisions;
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

    /** Whether a machine that has not reported yet is still worth waiting for. */
    public boolean bootsInTime(HostRecord h) {
        // A controller that has just started has heard nobody yet: that says nothing about the machines.
        return timeline.now().compareTo(EARLY) < 0 || age(h).compareTo(bootTime(h).multipliedBy(2)) < 0;
    }

    private Duration age(HostRecord h) {
        return Duration.between(h.rented(), timeline.wallTime());
    }

    private Duration bootTime(HostRecord h) {
        return known(h.type()).map(MachineType::boot).orElse(Duration.ofSeconds(60));
    }

    /** When any controller last heard a machine. */
    public Optional<Duration> heard(String host) {
        Optional<Duration> last = sessions.known(host).flatMap(s -> s.heardAt);
        for (Peers.Word w : peers.all().values()) {
            Duration d = w.heardAt().get(host);
            if (d != null && (last.isEmpty() || d.compareTo(last.get()) > 0)) {
                last = Optional.of(d);
            }
        }
        return last;
    }

    /** Called every round on every controller; only the leader acts. */
    public void tick(Planner.Plan plan) {
        Duration now = timeline.now();
        if (!membership.leads()) {
            leadingSince = Optional.empty();
            return;
        }
        if (leadingSince.isEmpty()) {
            leadingSince = Optional.of(now);
            listAgainAt = now;
        }
        goneAt.values().removeIf(t -> now.minus(t).compareTo(REMEMBER_GONE) > 0);
        tellSize(now);
        list(now);
        removeGone();
        judge(now, plan);
        giveBack();
        rent(plan);
    }

    private void tellSize(Duration now) {
        if (!LOG.isDebugEnabled() || now.compareTo(tellAgainAt) < 0) {
            return;
        }
        tellAgainAt = now.plus(TELL_EVERY);
        var counts = new java.util.TreeMap<String, Integer>();
        for (HostRecord h : replica.hosts().values()) {
            int claims = replica.claimsOn(h.id()).size();
            String use = heard(h.id()).isEmpty() ? "booting" : h.leaving() ? "leaving" : claims == 0 ? "idle" : "used";
            counts.merge((h.spot() ? "spot " : "ordinary ") + use, 1, Integer::sum);
            counts.merge("tasks", claims, Integer::sum);
        }
        LOG.debug("fleet: {}", counts);
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

    /** Machines in the list that no record names: rented by a request whose answer was lost, or there from the start. */
    private void adopt() {
        for (ListedMachine m : listed.values()) {
            if (!replica.hosts().containsKey(m.id()) && !isGone(m.id()) && !committer.isLocked(Keys.host(m.id()))) {
                record(m.id(), m.address(), new Planner.Market(m.type(), m.zone(), m.spot()), timeline.wallTime().minus(m.age()));
            }
        }
    }

    private void record(String id, String address, Planner.Market market, Instant rented) {
        String owner = membership.hashed(id).orElse(settings.nodeName());
        long inc = membership.incarnationOf(owner).orElse(membership.incarnation());
        var host = new HostRecord(id, address, market.type(), market.zone(), market.spot(), owner, inc, 1, rented, Instant.EPOCH, false, "");
        committer.propose(new Txn().guard(Keys.host(id), 0).write(Keys.host(id), host.toNode()), r -> { });
    }

    private void removeGone() {
        for (HostRecord h : List.copyOf(replica.hosts().values())) {
            String key = Keys.host(h.id());
            if (isGone(h.id()) && replica.claimsOn(h.id()).isEmpty() && !committer.isLocked(key)) {
                committer.propose(new Txn().guard(key, replica.stamp(key)).remove(key), r -> {
                    if (r instanceof TxnResult.Applied) {
                        sessions.drop(h.id());
                        firstSeen.remove(h.id());
                    }
                });
            }
        }
    }

    private void judge(Duration now, Planner.Plan plan) {
        for (HostRecord h : List.copyOf(replica.hosts().values())) {
            if (h.leaving() || isGone(h.id()) || committer.isLocked(Keys.host(h.id()))) {
                continue;
            }
            boolean idle = replica.claimsOn(h.id()).isEmpty() && !plan.wantedHosts().contains(h.id());
            if (!idle) {
                idleSince.remove(h.id());
            } else {
                idleSince.putIfAbsent(h.id(), now);
            }
            whyLeave(h, now).ifPresent(why -> leave(h, why));
        }
    }

    private Optional<String> whyLeave(HostRecord h, Duration now) {
        ListedMachine row = listed.get(h.id());
        if (row != null && row.failed()) {
            return Optional.of("it failed");
        }
        if (peers.all().values().stream().anyMatch(w -> w.bad().contains(h.id())) || bad(h.id())) {
            return Optional.of("it fails its tasks");
        }
        Optional<Duration> heard = heard(h.id());
        if (heard.isEmpty()) {
            Duration patience = bootTime(h).multipliedBy(options.get().bootPatience());
            Duration seen = firstSeen.computeIfAbsent(h.id(), k -> now);
            boolean running = row != null && row.phase().equals("running");
            if (running && now.minus(seen).compareTo(options.get().silentBeforeReturn().plus(Duration.ofSeconds(20))) > 0) {
                return Optional.of("it runs but no controller hears it");
            }
            boolean longEnough = now.minus(leadingSince.orElse(now)).compareTo(options.get().silentBeforeReturn().plus(EARLY)) > 0;
            return longEnough && age(h).compareTo(patience) > 0 ? Optional.of("it did not come up in time") : Optional.empty();
        }
        Duration silence = now.minus(later(heard.get(), leadingSince.orElse(now)));
        Duration limit = options.get().silentBeforeReturn().plus(membership.owns(h) || peers.word(h.owner()).isPresent() ? Duration.ZERO : Duration.ofSeconds(25));
        if (silence.compareTo(limit) > 0) {
            return Optional.of("it has been silent for " + silence.toSeconds() + " s");
        }
        Duration idle = now.minus(idleSince.getOrDefault(h.id(), now));
        return idle.compareTo(options.get().idleBeforeReturn(h.spot())) > 0 ? Optional.of(HostRecord.IDLE) : Optional.empty();
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** A machine on which tasks of different jobs keep failing. */
    public boolean bad(String host) {
        return sessions.known(host).filter(s -> s.errorsInARow >= options.get().quarantineAfter()).isPresent();
    }

    private void leave(HostRecord h, String why) {
        decisions.tell(LOG, "machine {} is given back: {}", h.id(), why);
        committer.propose(replica.rewrite(h.leaving(why)), r -> { });
    }

    private void giveBack() {
        if (returning) {
            return;
        }
        var hosts = new ArrayList<String>();
        for (HostRecord h : replica.hosts().values()) {
            // Placements guard the record's stamp: once it says leaving and everything up to it is known, nothing new can come.
            boolean settled = h.leaving() && replica.syncedTo() >= replica.stamp(Keys.host(h.id())) && !isGone(h.id());
            boolean unused = replica.claimsOn(h.id()).isEmpty() || !h.leavesWhenEmpty();
            if (settled && unused && hosts.size() < MOST_RETURNED) {
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

    private void rent(Planner.Plan plan) {
        if (renting || catalog.get().isEmpty() || replica.age().compareTo(Duration.ofSeconds(3)) > 0) {
            return;
        }
        var needs = needs(plan);
        for (Map.Entry<Planner.Market, Integer> need : needs.entrySet()) {
            if (need.getValue() > 0) {
                renting = true;
                request("r-" + settings.nodeName() + "-" + membership.incarnation() + "-" + ++charters, need.getKey(), Math.min(50, need.getValue()), 4);
                return;
            }
        }
    }

    /** Packs what found no room into machines of the cheapest kinds that may serve it. */
    private Map<Planner.Market, Integer> needs(Planner.Plan plan) {
        var needs = new LinkedHashMap<Planner.Market, Integer>();
        record Extra(Planner.Market market, Resources[] room) {}
        var extras = new ArrayList<Extra>();
        Duration queued = runningWork();
        for (Planner.Shortfall gap : plan.shortfalls()) {
            List<Planner.Market> markets = markets(gap);
            if (!gap.job().job().gang()) {
                queued = queued.plus(gap.job().job().estimate().multipliedBy(gap.tasks()));
                keepCheapestIfInTime(gap, markets, queued);
            }
            int left = gap.tasks();
            Optional<String> zone = gap.zone();
            for (int i = 0; i < gap.tasks() && left > 0; i++) {
                Resources one = gap.job().job().perTask();
                Optional<String> z = zone;
                boolean placed = false;
                for (Extra e : extras) {
                    if (markets.contains(e.market) && (z.isEmpty() || z.get().equals(e.market.zone())) && one.fitsIn(e.room[0])) {
                        e.room[0] = e.room[0].minus(one);
                        placed = true;
                        break;
                    }
                }
                if (!placed) {
                    Optional<Planner.Market> m = markets.stream().filter(x -> z.isEmpty() || z.get().equals(x.zone())).findFirst();
                    if (m.isEmpty()) {
                        break;
                    }
                    if (gap.job().job().sameZone()) {
                        zone = Optional.of(m.get().zone());
                    }
                    needs.merge(m.get(), 1, Integer::sum);
                    extras.add(new Extra(m.get(), new Resources[] {type(m.get().type()).size().minus(one)}));
                }
                left--;
            }
        }
        return needs;
    }

    /** What is left of running array tasks, by estimate: half of each on average. */
    private Duration runningWork() {
        Duration sum = Duration.ZERO;
        for (JobRecord j : replica.livingJobs()) {
            if (j.open() && !j.job().gang()) {
                sum = sum.plus(j.job().estimate().multipliedBy(j.claims().size()).dividedBy(2));
            }
        }
        return sum;
    }

    /** Work that ends in time even if it queues for the cheapest kind is not worth a dear machine. */
    private void keepCheapestIfInTime(Planner.Shortfall gap, List<Planner.Market> markets, Duration queued) {
        var job = gap.job().job();
        Optional<Duration> target = job.due().or(() -> settings.objectives().stream().filter(o -> o.kind().equals("finished") && o.jobClass().equals(job.jobClass()))
                .map(Settings.Objective::within).min(Comparator.naturalOrder()));
        int slots = 0;
        for (HostRecord h : replica.hosts().values()) {
            if (h.spot() == job.spot() && !h.leaving() && job.types().map(t -> t.contains(h.type())).orElse(true)) {
                slots += fits(job.perTask(), h.type());
            }
        }
        if (target.isEmpty() || slots == 0) {
            return;
        }
        Duration end = Duration.between(gap.job().arrived(), timeline.wallTime()).plus(queued.dividedBy(slots)).plus(job.estimate().multipliedBy(4).dividedBy(3)).plus(FETCH_ALLOWANCE);
        if (end.compareTo(target.get().multipliedBy(4).dividedBy(5)) < 0) {
            double cheapest = catalog.get().orElse(List.of()).stream().filter(t -> job.types().map(a -> a.contains(t.name())).orElse(true)).mapToDouble(t -> t.price(job.spot())).min().orElse(0);
            markets.removeIf(m -> type(m.type()).price(m.spot()) > cheapest * 1.2);
        }
    }

    private int fits(Resources one, String typeName) {
        return Planner.fitCount(one, known(typeName).map(MachineType::size).orElse(Resources.NONE), MOST_SLOTS);
    }

    private Optional<MachineType> known(String name) {
        return catalog.get().flatMap(types -> types.stream().filter(t -> t.name().equals(name)).findFirst());
    }

    private MachineType type(String name) {
        return known(name).orElseThrow();
    }

    /** Allowed markets that were not refused lately, cheapest first, then the zone with fewest machines. */
    private List<Planner.Market> markets(Planner.Shortfall gap) {
        var job = gap.job().job();
        Set<Planner.Market> refused = refused();
        var perZone = new HashMap<String, Integer>();
        replica.hosts().values().forEach(h -> perZone.merge(h.zone(), 1, Integer::sum));
        var list = new ArrayList<Planner.Market>();
        for (MachineType t : catalog.get().orElse(List.of())) {
            if (!job.types().map(a -> a.contains(t.name())).orElse(true) || !job.perTask().fitsIn(t.size())) {
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
        list.sort(Comparator.comparingDouble((Planner.Market m) -> type(m.type()).price(m.spot())).thenComparing(m -> perZone.getOrDefault(m.zone(), 0)));
        return list;
    }

    private void request(String charter, Planner.Market market, int count, int tries) {
        cloud.rent(charter, market, count).whenComplete((rented, failure) -> {
            if (failure != null) {
                // Its answer may be lost, so the same charter is sent again; what it rents all the same shows in the list.
                timeline.after(RETRY, () -> {
                    if (tries > 1 && membership.leads()) {
                        request(charter, market, count, tries - 1);
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
                decisions.tell(LOG, "rented {} of {} in {} ({})", rented.hosts().size(), market.type(), market.zone(), market.spot() ? "spot" : "ordinary");
                rented.hosts().forEach(id -> record(id, "", market, timeline.wallTime()));
            }
        });
    }

    private void refuse(Planner.Market market) {
        Duration pause = Optional.ofNullable(refusals.get(market)).map(r -> r.pause.multipliedBy(2)).orElse(NO_CAPACITY_PAUSE);
        if (pause.compareTo(LONGEST_PAUSE) > 0) {
            pause = LONGEST_PAUSE;
        }
        refusals.put(market, new Refusal(timeline.now().plus(pause), pause));
        decisions.tell(LOG, "no more {} in {} ({}); asked again in {} s", market.type(), market.zone(), market.spot() ? "spot" : "ordinary", pause.toSeconds());
    }
}
