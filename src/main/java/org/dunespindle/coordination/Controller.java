package org.dunespindle.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.dunespindle.bookkeeping.Claim;
import org.dunespindle.bookkeeping.HostRecord;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.bookkeeping.Keys;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.Replica.Placed;
import org.dunespindle.bookkeeping.StateClient;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.bookkeeping.Txn;
import org.dunespindle.bookkeeping.TxnResult;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.PieceId;
import org.dunespindle.protocol.Pack;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.transport.Caller;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: repeats rounds that compare what is wanted with what is and propose the difference.
 * A round's decisions are a pure function of a snapshot; what it commits is guarded by everything the
 * decision rested on.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final Duration ROUND_AT_MOST_EVERY = Duration.ofMillis(60);
    private static final Duration ROUND_AT_LEAST_EVERY = Duration.ofMillis(500);
    private static final Duration WORD_EVERY = Duration.ofMillis(1000);
    private static final Duration SYNC_EVERY = Duration.ofMillis(300);
    private static final Duration CATALOG_EVERY = Duration.ofSeconds(60);
    private static final Duration CATALOG_PATIENCE = Duration.ofSeconds(10);
    private static final Duration PLACING_VIEW = Duration.ofSeconds(3);
    private static final Duration IMPATIENT_AFTER = Duration.ofMillis(1500);
    private static final Duration LENT_AT_LEAST = Duration.ofSeconds(10);
    private static final int RECORD_RESERVE = 1600;
    private static final int RECORD_PER_TASK = 22;
    private final Settings settings;
    private final Timeline timeline;
    private final StateClient state;
    private final Replica replica;
    private final Membership membership;
    private final Committer committer;
    private final Sessions sessions = new Sessions();
    private final HostDesk hostDesk;
    private final Peers peers;
    private final CloudClient cloud;
    private final Fleet fleet;
    private final FrontDesk frontDesk;
    private final Decisions decisions;
    private Options options;
    private long optionsStamp;
    private final Admin admin;
    private final Headroom headroom;
    private final Histogram accepts = new Histogram(60_000_000L, 2);
    private final Histogram rounds = new Histogram(60_000_000L, 2);
    private final Histogram replacement = new Histogram(3_600_000_000L, 2);
    private final Map<String, Duration> replacingSince = new HashMap<>();
    private final Histogram holdPlacement = new Histogram(3_600_000_000L, 2);
    private final Map<String, Duration> firstHold = new HashMap<>();
    private final Map<String, Duration> elsewhereSince = new HashMap<>();
    /** The finishing times that the operators aim at, by class, shortest first. */
    private final Map<String, List<Duration>> targets = new HashMap<>();
    private final Map<String, Duration> borrowedAt = new HashMap<>();
    private Optional<List<MachineType>> catalog = Optional.empty();
    private Planner.Plan plan = new Planner.Plan(List.of(), List.of(), List.of(), Map.of(), Set.of());
    private Duration lastRound = Duration.ZERO;
    private Duration lastCost = Duration.ZERO;
    private boolean roundSet;

    public Controller(Settings settings, Caller http, Timeline timeline) {
        this.settings = settings;
        this.timeline = timeline;
        this.decisions = new Decisions(timeline);
        this.options = Options.defaults(settings.workers().lease());
        this.state = new StateClient(http, settings, timeline);
        this.replica = new Replica(state, timeline, SYNC_EVERY, this::wake);
        this.membership = new Membership(settings.nodeName(), state, replica, timeline);
        this.committer = new Committer(state, replica, settings.state().txnOps(), this::wake);
        this.hostDesk = new HostDesk(settings, replica, membership, committer, http, timeline, sessions, decisions, this::wake);
        this.peers = new Peers(settings, http, timeline, (host, image) -> sessions.of(host).fetched(image));
        this.cloud = new CloudClient(http, settings, timeline);
        this.fleet = new Fleet(settings, replica, membership, committer, cloud, timeline, sessions, peers, decisions, this::options, () -> catalog);
        this.admin = new Admin(settings, replica, membership, committer, decisions, this,
                new TreeMap<>(Map.of("decisionRound", rounds, "stateCall", state.latency(), "cloudCall", cloud.latency(), "holdPlacement", holdPlacement, "replacement", replacement, "accept", accepts)));
        settings.objectives().stream().filter(o -> o.kind().equals("finished")).sorted(Comparator.comparing(Settings.Objective::within))
                .forEach(o -> targets.computeIfAbsent(o.jobClass(), c -> new ArrayList<>()).add(o.within()));
        this.headroom = new Headroom(settings.objectives());
        this.frontDesk = new FrontDesk(settings, replica, state, committer, timeline, () -> catalog, accepts);
    }

    /** The operators' settings as stored now. */
    public Options options() {
        long stamp = replica.stamp(Keys.OPTIONS);
        if (stamp != optionsStamp) {
            optionsStamp = stamp;
            options = Options.of(replica.value(Keys.OPTIONS), settings.workers().lease());
        }
        return options;
    }

    public Admin admin() {
        return admin;
    }

    /** Why an unfinished job waits, in words for its user. */
    public String whyWaits(JobRecord j) {
        if (replica.age().compareTo(PLACING_VIEW) > 0) {
            return "the state service does not answer; nothing new is placed";
        }
        if (j.spec().isPresent() && j.job().gang() && j.mode() == JobRecord.Mode.STOP) {
            return "its members are being stopped before it is placed again";
        }
        if (j.unplacedCount() == 0) {
            return "its placeholders fetch the image";
        }
        return plan.reasons().getOrDefault(j.id(), "it is about to be placed");
    }

    public FrontDesk frontDesk() {
        return frontDesk;
    }

    public HostDesk hostDesk() {
        return hostDesk;
    }

    public Peers peers() {
        return peers;
    }

    public void start() {
        replica.start();
        fetchCatalog();
        heartbeat();
        word();
    }

    /** Whether users' requests can be served here. In an outage that all share, staying in is better than all leaving. */
    public boolean healthy() {
        // Polls need no catalog, so a cloud that stays silent must not keep users out for good.
        boolean catalogAwaited = catalog.isEmpty() && timeline.now().compareTo(CATALOG_PATIENCE) < 0;
        if (!replica.loaded() || catalogAwaited || membership.incarnation() == 0) {
            return false;
        }
        boolean othersSee = peers.all().keySet().stream().map(peers::word).flatMap(Optional::stream).anyMatch(w -> w.viewAge().compareTo(PLACING_VIEW) < 0);
        return replica.age().compareTo(Duration.ofSeconds(4)) < 0 || !othersSee;
    }

    private void fetchCatalog() {
        cloud.catalog().whenComplete((types, failure) -> {
            if (failure == null) {
                catalog = Optional.of(types);
                wake();
            }
            timeline.after(catalog.isPresent() ? CATALOG_EVERY : Duration.ofMillis(800), this::fetchCatalog);
        });
    }

    private void heartbeat() {
        wake();
        timeline.after(ROUND_AT_LEAST_EVERY, this::heartbeat);
    }

    private void word() {
        if (replica.loaded()) {
            peers.tell(this::ownWord);
        }
        timeline.after(WORD_EVERY, this::word);
    }

    /** What this controller tells the others, and the answer to their word. */
    public ObjectNode ownWord() {
        ObjectNode n = Pack.map().put("node", settings.nodeName()).put("viewAgeMs", replica.age().toMillis());
        var ready = n.putArray("ready");
        var images = n.putObject("images");
        var bad = n.putArray("bad");
        for (HostRecord h : replica.hosts().values()) {
            if (takesTasks(h)) {
                ready.add(h.id());
                var list = images.putArray(h.id());
                sessions.of(h.id()).images().forEach(list::add);
            }
            if (fleet.bad(h.id())) {
                bad.add(h.id());
            }
        }
        var heard = n.putObject("heardMs");
        sessions.all().forEach((h, s) -> s.heardAt.ifPresent(t -> heard.put(h, timeline.now().minus(t).toMillis())));
        return n;
    }

    private boolean takesTasks(HostRecord h) {
        return hostDesk.ready(h) && !fleet.bad(h.id()) && sessions.of(h.id()).report.get().notice().isEmpty()
                && sessions.of(h.id()).heardAt.filter(t -> timeline.now().minus(t).compareTo(settings.workers().report().multipliedBy(3).plusSeconds(1)) < 0).isPresent();
    }

    /** Asks for a round soon. A dear round is followed by a longer pause, so that answers to users and workers keep their turn. */
    private void wake() {
        if (roundSet) {
            return;
        }
        roundSet = true;
        Duration gap = lastCost.multipliedBy(6);
        Duration next = lastRound.plus(gap.compareTo(ROUND_AT_MOST_EVERY) > 0 ? gap : ROUND_AT_MOST_EVERY).minus(timeline.now());
        timeline.after(next.compareTo(Duration.ofMillis(5)) < 0 ? Duration.ofMillis(5) : next, () -> {
            roundSet = false;
            Duration begun = timeline.now();
            lastRound = begun;
            try {
                round();
            } catch (RuntimeException e) {
                LOG.error("a decision round failed and is repeated", e);
            }
            lastCost = timeline.now().minus(begun);
            rounds.recordValue(Math.min(60_000_000L, lastCost.toNanos() / 1000));
        });
    }

    private void round() {
        // In every round, not only on the heartbeat: after a crash of all controllers the workers' leases are about to end.
        membership.tick();
        if (!replica.loaded() || membership.incarnation() == 0) {
            return;
        }
        var events = new ArrayList<>(hostDesk.pass());
        replica.hosts().values().forEach(h -> {
            if (hostDesk.commands(h)) {
                hostDesk.observe(h);
            }
            if (membership.leads() && fleet.isGone(h.id())) {
                replica.claimsOn(h.id()).forEach(p -> events.add(new Reconciler.Event(p.job().id(), p.claim().task(), Reconciler.Fate.GONE, "its machine " + h.id() + " is gone")));
            }
        });
        record(events);
        if (!membership.joined()) {
            return;
        }
        owners();
        if (replica.age().compareTo(PLACING_VIEW) > 0 || catalog.isEmpty()) {
            return; // an outage: what runs goes on, nothing new is placed
        }
        Planner.Plan before = plan;
        plan = Planner.plan(snapshot());
        if (LOG.isDebugEnabled() && membership.leads()) {
            plan.reasons().forEach((job, why) -> {
                if (!why.equals(before.reasons().get(job))) {
                    LOG.debug("{} waits: {}", job, why);
                }
            });
        }
        place();
        if (membership.leads()) {
            evict();
            gangs();
        }
        drainNoticed();
        fleet.tick(plan);
    }

    /** Stores what became of claims, guarded by the ownership under which it was seen. */
    private void record(List<Reconciler.Event> events) {
        var byJob = new LinkedHashMap<String, List<Reconciler.Event>>();
        for (Reconciler.Event e : events) {
            byJob.computeIfAbsent(e.job(), k -> new ArrayList<>()).add(e);
        }
        byJob.forEach((id, list) -> {
            Optional<JobRecord> job = replica.job(id);
            if (job.isEmpty() || committer.isLocked(Keys.job(id))) {
                return;
            }
            var txn = new Txn();
            for (Reconciler.Event e : list) {
                job.get().claim(e.task()).ifPresent(c -> guardHost(txn, c.host()));
                tell(job.get(), e);
            }
            change(job.get(), JobChanges.apply(job.get(), list, timeline.wallTime()), txn, r -> { });
        });
    }

    private void guardHost(Txn txn, String host) {
        txn.guard(Keys.host(host), replica.stamp(Keys.host(host)));
    }

    private void tell(JobRecord job, Reconciler.Event e) {
        String host = job.claim(e.task()).map(Claim::host).orElse("?");
        Sessions.Session s = sessions.of(host);
        if (e.fate() == Reconciler.Fate.ERROR) {
            decisions.tell(LOG, "task {}/{} failed on machine {}; it is started again elsewhere or later", job.id(), e.task(), host);
            s.errorsInARow = s.lastErrorJob.equals(job.id()) && s.errorsInARow > 0 ? s.errorsInARow : s.errorsInARow + 1;
            s.lastErrorJob = job.id();
        } else if (e.fate() == Reconciler.Fate.DONE) {
            s.errorsInARow = 0;
            s.lastErrorJob = "";
        } else if (job.open()) {
            decisions.tell(LOG, "task {}/{} left machine {}: {}", job.id(), e.task(), host, e.why());
        }
    }

    private void change(JobRecord from, JobRecord to, Txn txn, Consumer<TxnResult> then) {
        if (from == to || committer.isLocked(Keys.job(from.id()))) {
            return;
        }
        String key = Keys.job(from.id());
        committer.propose(txn.guard(key, replica.stamp(key)).write(key, to.toNode()), then);
    }

    private void guardLeader(Txn txn) {
        txn.guard(Keys.LEADER, replica.stamp(Keys.LEADER));
    }

    /** Takes over machines whose controller is gone, and hands back or on those that hash elsewhere. */
    private void owners() {
        var hosts = new ArrayList<>(replica.hosts().values());
        hosts.sort(Comparator.comparing(h -> replica.claimsOn(h.id()).isEmpty())); // what runs is in a hurry, what idles is not
        for (HostRecord h : hosts) {
            if (committer.isLocked(Keys.host(h.id()))) {
                continue;
            }
            boolean alive = membership.isAlive(h.owner(), h.incarnation());
            Optional<String> home = hasGang(h) ? membership.leader() : membership.hashed(h.id());
            boolean mineToTake = home.filter(settings.nodeName()::equals).isPresent();
            if (!alive && (mineToTake || h.owner().equals(settings.nodeName()))) {
                hostDesk.take(h, Instant.EPOCH, r -> { });
            } else if (membership.owns(h) && home.isPresent() && !mineToTake) {
                handOver(h, home.get());
            }
        }
    }

    private boolean hasGang(HostRecord h) {
        for (Placed p : replica.claimsOn(h.id())) {
            if (p.job().spec().isPresent() && p.job().job().gang()) {
                return true;
            }
        }
        return false;
    }

    private void handOver(HostRecord h, String to) {
        Duration now = timeline.now();
        boolean calm = h.keepUntil().isBefore(timeline.wallTime()) && now.minus(borrowedAt.getOrDefault(h.id(), Duration.ZERO)).compareTo(LENT_AT_LEAST) > 0
                && !sessions.of(h.id()).calling && sessions.of(h.id()).unansweredUnder.isEmpty() && !plan.wantedHosts().contains(h.id());
        Optional<Long> inc = membership.incarnationOf(to);
        if (calm && inc.isPresent() && peers.word(to).isPresent() && !hasGang(h)) {
            committer.propose(replica.rewrite(h.ownedBy(to, inc.get(), Instant.EPOCH)), r -> { });
        }
    }

    private Planner.Snapshot snapshot() {
        var jobs = new ArrayList<JobRecord>();
        replica.livingJobs().forEach(jobs::add);
        headroom.observe(jobs);
        var hosts = new ArrayList<Planner.Host>();
        var places = new HashMap<String, Planner.Place>();
        for (HostRecord h : replica.hosts().values()) {
            places.put(h.id(), new Planner.Place(h.type(), h.zone(), h.spot()));
            Optional<MachineType> type = catalog.get().stream().filter(t -> t.name().equals(h.type())).findFirst();
            if (type.isEmpty() || h.leaving()) {
                continue;
            }
            boolean mine = membership.owns(h);
            Optional<Peers.Word> word = mine ? Optional.empty() : peers.word(h.owner());
            boolean up = mine ? takesTasks(h) : word.filter(w -> w.ready().contains(h.id())).isPresent();
            boolean heard = fleet.heard(h.id()).isPresent();
            if (up || (!heard && fleet.bootsInTime(h))) {
                hosts.add(new Planner.Host(h.id(), h.type(), h.zone(), h.spot(), type.get().size(), up, mine, Set.copyOf(sessions.of(h.id()).images())));
            }
        }
        int most = Math.max(8, (settings.state().valueBytes() - RECORD_RESERVE) / RECORD_PER_TASK);
        var impatient = new HashSet<String>();
        elsewhereSince.forEach((job, since) -> {
            if (timeline.now().minus(since).compareTo(IMPATIENT_AFTER) > 0) {
                impatient.add(job);
            }
        });
        return new Planner.Snapshot(timeline.wallTime(), jobs, hosts, settings.teams(), places, fleet.refused(), most, impatient, headroom.phantoms(options().spareJobs()), targets);
    }

    /** Commits this controller's part of the plan: one transaction per team, which the team's ledger guards. */
    private void place() {
        var byTeam = new LinkedHashMap<String, List<Planner.Booking>>();
        var elsewhere = new HashSet<String>();
        for (Planner.Booking b : plan.bookings()) {
            var own = ownPart(b, elsewhere);
            if (!own.places().isEmpty() && !committer.isLocked(Keys.job(b.job().id()))) {
                byTeam.computeIfAbsent(b.job().job().team(), t -> new ArrayList<>()).add(own);
            }
        }
        elsewhereSince.keySet().retainAll(elsewhere);
        elsewhere.forEach(j -> elsewhereSince.putIfAbsent(j, timeline.now()));
        byTeam.forEach(this::placeForTeam);
    }

    private Planner.Booking ownPart(Planner.Booking b, Set<String> elsewhere) {
        boolean gang = b.job().job().gang();
        var places = new LinkedHashMap<Integer, String>();
        for (Map.Entry<Integer, String> e : b.places().entrySet()) {
            HostRecord h = replica.hosts().get(e.getValue());
            if (h == null || committer.isLocked(Keys.host(h.id()))) {
                continue;
            }
            if (membership.owns(h)) {
                if ((!gang || membership.leads()) && takesTasks(h)) {
                    places.put(e.getKey(), h.id());
                }
            } else if (gang && membership.leads()) {
                borrow(h);
            } else if (!gang) {
                elsewhere.add(b.job().id());
            }
        }
        return new Planner.Booking(b.job(), places);
    }

    /** Gangs are the leader's: it takes the machine over and gives it back when no gang is on it any more. */
    private void borrow(HostRecord h) {
        long borrowed = replica.hosts().values().stream().filter(membership::owns).filter(o -> membership.hashed(o.id()).filter(settings.nodeName()::equals).isEmpty()).count();
        if (h.keepUntil().isBefore(timeline.wallTime()) && borrowed < options().borrowedMachines()) {
            borrowedAt.put(h.id(), timeline.now());
            hostDesk.take(h, Instant.EPOCH, r -> { });
        }
    }

    private void placeForTeam(String team, List<Planner.Booking> bookings) {
        String key = Keys.team(team);
        if (committer.isLocked(key)) {
            return;
        }
        var txn = new Txn().guard(key, replica.stamp(key));
        Resources use = Planner.use(replica.livingJobs()).getOrDefault(team, Resources.NONE);
        int most = settings.state().txnOps() - 1;
        for (Planner.Booking b : bookings) {
            JobRecord placed = b.job().placed(b.places());
            if (b.job().job().gang() && b.job().job().tasks() == 1) {
                placed = placed.real(); // its placeholder would be the whole gang and start, so it runs directly
            }
            ObjectNode node = placed.toNode();
            if (txn.changeCount() >= most || Pack.countedSize(node) > settings.state().valueBytes()) {
                continue;
            }
            Resources after = use.plus(b.job().job().perTask().times(b.places().size()));
            if (!settings.teams().get(team).withinLimit(after)) {
                continue;
            }
            use = after;
            txn.guard(Keys.job(b.job().id()), replica.stamp(Keys.job(b.job().id()))).write(Keys.job(b.job().id()), node);
            b.places().values().forEach(h -> guardHost(txn, h));
            if (LOG.isDebugEnabled()) {
                long cached = b.places().values().stream().filter(h -> sessions.of(h).images().contains(b.job().job().image())).count();
                LOG.debug("{} ({}) is placed on {}, {} with its image, {} ms after it came", b.job().id(), b.job().job().jobClass(), b.places().values(), cached,
                        Duration.between(b.job().arrived(), timeline.wallTime()).toMillis());
            }
            if (b.job().job().gang()) {
                guardLeader(txn);
                firstHold.putIfAbsent(b.job().id(), timeline.now());
            }
        }
        if (txn.changeCount() > 0) {
            txn.write(key, Pack.map().put("cpus", use.cpus()).put("gpus", use.gpus()));
            committer.propose(txn, r -> { });
        }
    }

    private void evict() {
        var victims = new LinkedHashMap<String, JobRecord>();
        for (Planner.Eviction e : plan.evictions()) {
            JobRecord j = victims.getOrDefault(e.victim().id(), e.victim());
            victims.put(j.id(), j.stopTask(e.claim().task()));
            if (!committer.isLocked(Keys.job(j.id()))) {
                decisions.tell(LOG, "task {}/{} on {} gives way to {}", j.id(), e.claim().task(), e.claim().host(), e.forJob());
            }
        }
        victims.forEach((id, changed) -> {
            var txn = new Txn();
            guardLeader(txn);
            replica.job(id).ifPresent(j -> change(j, changed, txn, r -> { }));
        });
    }

    /** Moves gangs on: to real tasks once every placeholder idles, back to the queue when the timer ends the placement. */
    private void gangs() {
        Duration now = timeline.now();
        var holding = new HashSet<String>();
        for (JobRecord j : replica.livingJobs()) {
            if (replacingSince.containsKey(j.id()) && j.mode() == JobRecord.Mode.REAL && allIn(j, TaskPhase.RUNNING)) {
                replacement.recordValue(Math.min(3_600_000_000L, now.minus(replacingSince.remove(j.id())).toNanos() / 1000));
            }
            if (!j.open() || !j.job().gang() || j.mode() != JobRecord.Mode.HOLD) {
                continue;
            }
            holding.add(j.id());
            Duration since = now.minus(firstHold.computeIfAbsent(j.id(), k -> now));
            boolean all = j.claims().size() == j.job().tasks();
            Duration limit = all ? options().firstHoldTimer().plus(settings.workers().gangWait()).plus(Duration.ofSeconds(30)) : options().firstHoldTimer();
            var txn = new Txn();
            guardLeader(txn);
            if (all && allIn(j, TaskPhase.ASSEMBLING) && !committer.isLocked(Keys.job(j.id()))) {
                holdPlacement.recordValue(Math.min(3_600_000_000L, since.toNanos() / 1000));
                decisions.tell(LOG, "gang {}: all {} placeholders are placed; real tasks replace them", j.id(), j.job().tasks());
                replacingSince.put(j.id(), now);
                change(j, j.real(), txn, r -> { });
            } else if (since.compareTo(limit) > 0) {
                decisions.tell(LOG, "gang {}: its placement ended after {} s with {} of {} placeholders; queued again", j.id(), since.toSeconds(), j.claims().size(), j.job().tasks());
                change(j, j.stopGang().requeued(timeline.wallTime().toEpochMilli()), txn, r -> { });
            } else {
                borrowHolds(j);
            }
        }
        firstHold.keySet().retainAll(holding);
        replacingSince.keySet().removeIf(id -> replica.job(id).filter(JobRecord::open).isEmpty());
    }

    private void borrowHolds(JobRecord j) {
        for (Claim c : j.claims()) {
            HostRecord h = replica.hosts().get(c.host());
            if (h != null && !membership.owns(h) && !committer.isLocked(Keys.host(h.id()))) {
                borrow(h);
            }
        }
    }

    /** Whether every member is reported in a phase, by machines commanded here. */
    private boolean allIn(JobRecord j, TaskPhase phase) {
        for (Claim c : j.claims()) {
            HostRecord h = replica.hosts().get(c.host());
            if (h == null || !hostDesk.ready(h) || sessions.of(h.id()).calling) {
                return false;
            }
            Optional<TaskStatus> t = sessions.of(h.id()).report.get().find(new PieceId(j.id(), c.task()), j.wantedAttempt(c));
            if (t.filter(x -> x.phase() == phase).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** A machine about to be taken away: work that can save is stopped in time, gangs as a whole. */
    private void drainNoticed() {
        for (HostRecord h : replica.hosts().values()) {
            if (!hostDesk.ready(h) || sessions.of(h.id()).report.get().notice().isEmpty()) {
                continue;
            }
            for (Placed p : replica.claimsOn(h.id())) {
                JobRecord j = p.job();
                if (committer.isLocked(Keys.job(j.id())) || !j.open() || p.claim().stopping() || j.mode() == JobRecord.Mode.STOP || !(j.job().saves() || j.mode() == JobRecord.Mode.HOLD)) {
                    continue;
                }
                var txn = new Txn();
                guardHost(txn, h.id());
                decisions.tell(LOG, "machine {} is about to be taken away; {} stops there", h.id(), j.job().gang() ? "gang " + j.id() : "task " + j.id() + "/" + p.claim().task());
                change(j, j.job().gang() ? j.stopGang() : stopAllOn(j, h.id()), txn, r -> { });
            }
        }
    }

    private static JobRecord stopAllOn(JobRecord j, String host) {
        JobRecord changed = j;
        for (Claim c : j.claims()) {
            if (c.host().equals(host)) {
                changed = changed.stopTask(c.task());
            }
        }
        return changed;
    }
}
