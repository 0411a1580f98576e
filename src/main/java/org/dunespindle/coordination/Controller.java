package org.dunespindle.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.HdrHistogram.Histogram;
import org.dunespindle.bookkeeping.Claim;
import org.dunespindle.bookkeeping.HostRecord;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.bookkeeping.Keys;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.StateClient;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Settings;
import org.dunespindle.transport.Caller;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: repeats rounds that compare what is wanted with what is and propose the difference.
 * Machines about which something changed are attended to at once; the whole is planned anew less often, and
 * the less often the dearer a plan is, so that answers to workers and users keep their turn.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final Duration ROUND_AT_MOST_EVERY = Duration.ofMillis(25);
    private static final Duration ROUND_AT_LEAST_EVERY = Duration.ofMillis(500);
    /** For what looks through all machines or jobs. */
    private static final Duration LOOK_EVERY = Duration.ofMillis(100);

    private static final Duration PLAN_AT_MOST_EVERY = Duration.ofMillis(150);
    private static final Duration PLAN_AT_LEAST_EVERY = Duration.ofSeconds(1);
    private static final Duration HEARTBEAT_EVERY = Duration.ofMillis(1000);
    private static final Duration SYNC_EVERY = Duration.ofMillis(300);
    private static final Duration CATALOG_EVERY = Duration.ofSeconds(60);
    private static final Duration CATALOG_PATIENCE = Duration.ofSeconds(10);
    private static final Duration PLACING_VIEW = Duration.ofSeconds(3);
    private static final Duration CUT_OFF_VIEW = Duration.ofSeconds(4);
    private static final Duration OTHERS_FIRST = Duration.ofMillis(900);
    private static final Duration GATHER_PER_WAITING = Duration.ofMillis(30);
    private static final Duration GATHER_AT_MOST = Duration.ofSeconds(3);
    /**
     * With so many tasks of an array under way, those that end are replaced together: each booking takes a place of its own in the
     * job's record, and a record of small bookings holds a fraction of the tasks.
     */
    private static final int MANY_UNDER_WAY = 200;

    private static final Duration GATHER_MANY = Duration.ofMillis(900);
    private static final Duration TELL_LOAD_EVERY = Duration.ofSeconds(10);
    private static final int ROUND_SHARE = 4;
    private static final int PLAN_SHARE = 10;
    private static final int RECORD_RESERVE = 1600;
    /** What a task takes of its job's record at least, however many share a machine: a run of tasks breaks up while they end one by one. */
    private static final int RECORD_PER_TASK = 6;

    private static final long LONGEST_MICROS = 60_000_000L;
    private final Settings settings;
    private final Timeline timeline;
    private final StateClient state;
    private final Replica replica;
    private final Membership membership;
    private final Committer committer;
    private final Sessions sessions = new Sessions();
    private final StallDetector stalls;
    private final Preemptions preemptions = new Preemptions();
    private final Cancellations cancellations;
    private final Faults faults;
    private final MachineEdits edits;
    private final HostDesk hostDesk;
    private final ReportDesk reportDesk;
    private final Peers peers;
    private final CloudClient cloud;
    private final Fleet fleet;
    private final Ownership ownership;
    private final Outcomes outcomes;
    private final Placements placements;
    private final Gangs gangs;
    private final FrontDesk frontDesk;
    private final Decisions decisions;
    private final Targets targets;
    private final WriteShare writeShare;
    private Options options;
    private long optionsStamp;
    private final Admin admin;
    private final Headroom headroom;
    private final Hearing hearing;
    private final Histogram accepts = new Histogram(LONGEST_MICROS, 2);
    private final Histogram rounds = new Histogram(LONGEST_MICROS, 2);
    private final Histogram plans = new Histogram(LONGEST_MICROS, 2);
    private final Map<String, Planner.Place> places = new HashMap<>();
    /** Since when a job's record has been as it is, as seen here. */
    private final Map<String, Duration> stillSince = new HashMap<>();

    private final Map<Planner.Started, Duration> startedAt = new HashMap<>();
    private final Map<String, Long> stillAt = new HashMap<>();
    private Optional<List<MachineType>> catalog = Optional.empty();
    private Map<String, MachineType> types = Map.of();
    private Planner.Plan plan = Planner.Plan.NONE;
    private Duration lastRound = Duration.ZERO;
    private Duration lastLook = Duration.ZERO;
    private Duration lastCost = Duration.ZERO;
    private Duration lastPlan = Duration.ZERO;
    private Duration planCost = Duration.ZERO;
    private Duration loadToldAt = Duration.ZERO;
    private long plannedFor = -1;
    private long newsNumber;
    private boolean roundSet;

    public Controller(Settings settings, Caller http, Timeline timeline) {
        this.settings = settings;
        this.timeline = timeline;
        this.stalls = new StallDetector(timeline);
        this.decisions = new Decisions(timeline);
        this.options = Options.defaults(settings.workers().lease());
        this.targets = new Targets(settings.objectives());
        this.state = new StateClient(http, settings, timeline);
        this.replica = new Replica(state, timeline, SYNC_EVERY, this::wake);
        this.membership = new Membership(settings.nodeName(), state, replica, timeline);
        this.committer =
                new Committer(state, replica, timeline, settings.state().txnOps(), this::wake);
        this.edits = new MachineEdits(replica, committer, timeline);
        this.faults = new Faults(replica::job);
        this.cancellations = new Cancellations(settings, replica, timeline);
        this.hostDesk = new HostDesk(
                settings,
                replica,
                membership,
                edits,
                http,
                timeline,
                sessions,
                decisions,
                preemptions,
                cancellations,
                stalls,
                this::wake);
        this.reportDesk = new ReportDesk(
                settings,
                replica,
                membership,
                edits,
                hostDesk,
                timeline,
                sessions,
                decisions,
                cancellations,
                this::cutOff,
                this::fellQuiet,
                this::wake);
        this.peers = new Peers(
                settings,
                http,
                timeline,
                membership::incarnation,
                membership::leader,
                (host, image) -> sessions.of(host).fetched(image),
                replica,
                (node, asked, cancelled) ->
                        hostDesk.cancelledElsewhere(cancellations.answered(node, asked, cancelled)));
        this.writeShare = new WriteShare(settings, peers, membership, committer, state, timeline);
        this.cloud = new CloudClient(http, settings, timeline);
        this.fleet = new Fleet(
                settings,
                replica,
                membership,
                edits,
                hostDesk,
                cloud,
                timeline,
                sessions,
                peers,
                decisions,
                targets,
                stalls,
                faults,
                this::options,
                () -> catalog);
        this.ownership =
                new Ownership(settings, replica, membership, hostDesk, edits, peers, sessions, timeline, this::options);
        this.outcomes =
                new Outcomes(settings, replica, membership, committer, hostDesk, sessions, timeline, decisions, faults);
        this.placements = new Placements(
                settings,
                replica,
                membership,
                committer,
                edits,
                outcomes,
                preemptions,
                hostDesk,
                timeline,
                decisions,
                this::takesTasks);
        this.gangs = new Gangs(settings, replica, committer, hostDesk, sessions, timeline, decisions, this::options);
        this.admin = new Admin(
                settings,
                replica,
                membership,
                committer,
                edits,
                decisions,
                this,
                new TreeMap<>(Map.of(
                        "decisionRound",
                        rounds,
                        "plan",
                        plans,
                        "stateCall",
                        state.latency(),
                        "cloudCall",
                        cloud.latency(),
                        "holdPlacement",
                        gangs.holdPlacement(),
                        "replacement",
                        gangs.replacement(),
                        "accept",
                        accepts)));
        this.hearing =
                new Hearing(settings, replica, membership, hostDesk, peers, sessions, timeline, stalls, decisions);
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
        if (faults.faultyJob(j.id())) {
            return "its tasks have failed " + j.failures() + " times, on "
                    + faults.machinesOf(j.id()).size()
                    + " machines seen from here, and none ended well; one is tried at a time, with growing pauses";
        }
        if (j.unplacedCount() == 0) {
            return "its placeholders fetch the image";
        }
        return plan.reasons()
                .getOrDefault(
                        j.id(),
                        j.job().gang() && !membership.leads()
                                ? "the leading controller places gangs; ask "
                                        + membership.leader().orElse("it")
                                : "it is about to be placed");
    }

    public FrontDesk frontDesk() {
        return frontDesk;
    }

    public ReportDesk reportDesk() {
        return reportDesk;
    }

    public void start() {
        replica.start();
        fetchCatalog();
        tick();
        sendHeartbeat();
    }

    /** Whether users' requests can be served here. In an outage that all share, staying in is better than all leaving. */
    public boolean healthy() {
        // Polls need no catalog, so a cloud that stays silent must not keep users out for good.
        boolean catalogAwaited = catalog.isEmpty() && timeline.now().compareTo(CATALOG_PATIENCE) < 0;
        return replica.loaded() && !catalogAwaited && membership.incarnation() > 0 && !cutOff();
    }

    /**
     * Whether this controller alone cannot read the state service. In an outage that all share, the others still
     * answer, and say that they can't either; if nobody answers, it must be assumed that others go on elsewhere.
     */
    private boolean cutOff() {
        if (replica.age().compareTo(CUT_OFF_VIEW) < 0) {
            return false;
        }
        List<Peers.Heartbeat> heartbeats = peers.fresh();
        return heartbeats.isEmpty()
                ? !settings.seeds().isEmpty()
                : heartbeats.stream().anyMatch(w -> w.viewAge().compareTo(PLACING_VIEW) < 0);
    }

    private boolean fellQuiet(String owner) {
        return peers.fellQuiet(owner);
    }

    private void fetchCatalog() {
        cloud.catalog().whenComplete((list, failure) -> {
            if (failure == null) {
                catalog = Optional.of(list);
                var byName = new HashMap<String, MachineType>();
                list.forEach(t -> byName.put(t.name(), t));
                types = byName;
                wake();
            }
            timeline.after(catalog.isPresent() ? CATALOG_EVERY : Duration.ofMillis(800), this::fetchCatalog);
        });
    }

    private void tick() {
        stalls.beat();
        hearing.tick();
        wake();
        timeline.after(ROUND_AT_LEAST_EVERY, this::tick);
    }

    private void sendHeartbeat() {
        if (replica.loaded()) {
            writeShare.adjust();
            peers.tell(replica.age(), writeShare.need(), peers.leaderListens() ? news() : List.of());
            peers.keepOnly(replica.hosts().keySet());
            cancellations.prune();
            faults.prune(replica.hosts()::containsKey);
            sessions.forget(replica.hosts().keySet(), timeline.now());
        }
        timeline.after(HEARTBEAT_EVERY, this::sendHeartbeat);
    }

    /** Takes in another controller's heartbeat and answers it. */
    public ObjectNode heard(byte[] heartbeat) {
        return peers.hear(heartbeat, replica.age(), writeShare.need());
    }

    /** The machines commanded here, numbered anew where something changed since it was last told. */
    private List<Peers.News> news() {
        var list = new ArrayList<Peers.News>();
        Duration now = timeline.now();
        for (HostRecord h : replica.hosts().values()) {
            Optional<Sessions.Session> s = membership.owns(h) ? sessions.known(h.id()) : Optional.empty();
            if (s.isEmpty() || s.get().heardAt.isEmpty()) {
                continue;
            }
            boolean up = takesTasks(h);
            boolean bad = fleet.bad(h.id());
            Duration silent = up
                    ? Duration.ZERO
                    : stalls.silence(s.get()
                            .unprovenSince
                            .filter(u -> u.compareTo(s.get().heardAt.get()) < 0)
                            .orElse(s.get().heardAt.get()));
            String told = h.token()
                    + (up ? "u" : "d" + silent.toSeconds() / 3)
                    + bad
                    + s.get().images().hashCode();
            if (!told.equals(s.get().told)) {
                s.get().told = told;
                s.get().toldAs = ++newsNumber;
            }
            String address = s.get().report.map(r -> r.address()).orElse(h.address());
            list.add(new Peers.News(
                    h.id(),
                    s.get().toldAs,
                    h.token(),
                    up,
                    bad,
                    silent,
                    address,
                    s.get().images()));
        }
        list.sort((a, b) -> Long.compare(a.number(), b.number()));
        return list;
    }

    private boolean takesTasks(HostRecord h) {
        if (!hostDesk.ready(h) || fleet.bad(h.id()) || fleet.leaves(h)) {
            return false;
        }
        Sessions.Session s = sessions.of(h.id());
        return s.report.get().notice().isEmpty()
                && !hostDesk.mute(s)
                && s.aliveAt()
                        .filter(t -> timeline.now()
                                        .minus(t)
                                        .compareTo(settings.workers()
                                                .report()
                                                .multipliedBy(3)
                                                .plusSeconds(1))
                                < 0)
                        .isPresent();
    }

    /** Asks for a round soon. A dear round is followed by a longer pause, so that answers to users and workers keep their turn. */
    private void wake() {
        if (roundSet) {
            return;
        }
        roundSet = true;
        Duration gap = lastCost.multipliedBy(ROUND_SHARE);
        Duration next = lastRound
                .plus(gap.compareTo(ROUND_AT_MOST_EVERY) > 0 ? gap : ROUND_AT_MOST_EVERY)
                .minus(timeline.now());
        timeline.after(next.compareTo(Duration.ofMillis(2)) < 0 ? Duration.ofMillis(2) : next, () -> {
            roundSet = false;
            Duration begun = timeline.now();
            lastRound = begun;
            stalls.beat();
            try {
                round();
            } catch (RuntimeException e) {
                LOG.error("a decision round failed and is repeated", e);
            }
            // Planning has a pace of its own; what it costs must not keep orders to machines waiting.
            lastCost = timeline.now().minus(begun).minus(lastPlan.compareTo(begun) > 0 ? planCost : Duration.ZERO);
            rounds.recordValue(Math.min(LONGEST_MICROS, lastCost.toNanos() / 1000));
        });
    }

    private void round() {
        // In every round, not only on the timer: after a crash of all controllers the workers' leases are about to end.
        membership.tick();
        if (!membership.leads()) {
            fleet.standDown(); // also when it leads again by the next plan: it did not watch meanwhile
        }
        if (!replica.loaded() || membership.incarnation() == 0) {
            return;
        }
        hostDesk.pass();
        Duration now = timeline.now();
        boolean look = now.minus(lastLook).compareTo(LOOK_EVERY) >= 0;
        if (look) {
            lastLook = now;
            outcomes.store(membership.leads() ? onGoneMachines() : List.of());
        }
        if (!membership.joined()) {
            return;
        }
        ownership.tick(plan);
        if (replica.age().compareTo(PLACING_VIEW) > 0 || catalog.isEmpty()) {
            return; // an outage: what runs goes on, nothing new is placed
        }
        if (membership.leads()) {
            gangs.tick();
        }
        if (look) {
            gangs.drainNoticed();
        }
        if (planDue()) {
            plan();
        }
        tellLoad();
    }

    /** Claims on machines that the cloud confirmed as gone, or that have no record any more, which comes later still. */
    private List<Reconciler.Event> onGoneMachines() {
        var events = new ArrayList<Reconciler.Event>();
        var hosts = new ArrayList<>(fleet.gone());
        replica.hostsWithClaims().stream()
                .filter(h -> !replica.hosts().containsKey(h) && !fleet.isGone(h))
                .forEach(hosts::add);
        for (String host : hosts) {
            for (Replica.Placed p : replica.claimsOn(host)) {
                events.add(new Reconciler.Event(
                        p.job().id(),
                        p.claim().task(),
                        p.claim().base(),
                        Reconciler.Fate.GONE,
                        "its machine " + host + " is gone"));
            }
        }
        return events;
    }

    private boolean planDue() {
        Duration since = timeline.now().minus(lastPlan);
        Duration gap = planCost.multipliedBy(PLAN_SHARE);
        boolean may = since.compareTo(gap.compareTo(PLAN_AT_MOST_EVERY) > 0 ? gap : PLAN_AT_MOST_EVERY) >= 0;
        return may
                && (replica.version() + hostDesk.version() != plannedFor || since.compareTo(PLAN_AT_LEAST_EVERY) >= 0);
    }

    private void plan() {
        Duration begun = timeline.now();
        plannedFor = replica.version() + hostDesk.version();
        Planner.Plan before = plan;
        plan = Planner.plan(snapshot());
        if (LOG.isDebugEnabled() && membership.leads()) {
            plan.reasons().forEach((job, why) -> {
                if (!why.equals(before.reasons().get(job))) {
                    LOG.debug("{} waits: {}", job, why);
                }
            });
        }
        if (membership.leads()) {
            ownership.borrow(plan);
            placements.evict(plan);
        }
        placements.place(plan);
        fleet.tick(plan);
        lastPlan = timeline.now();
        planCost = lastPlan.minus(begun);
        plans.recordValue(Math.min(LONGEST_MICROS, planCost.toNanos() / 1000));
    }

    private Planner.Snapshot snapshot() {
        boolean leads = membership.leads();
        var jobs = new ArrayList<JobRecord>();
        replica.livingJobs().forEach(j -> jobs.add(placements.ahead(j)));
        headroom.observe(jobs);
        var hosts = new ArrayList<Planner.Host>();
        var trusted = new HashMap<String, Boolean>();
        places.keySet().retainAll(replica.hosts().keySet());
        for (HostRecord h : replica.hosts().values()) {
            places.computeIfAbsent(h.id(), id -> new Planner.Place(h.type(), h.zone(), h.spot()));
            MachineType type = types.get(h.type());
            boolean mine = membership.owns(h);
            if (type == null || fleet.leaves(h) || !mine && !leads) {
                continue;
            }
            boolean up = mine
                    ? takesTasks(h)
                    : told(h, trusted).filter(m -> m.up() && !m.bad()).isPresent();
            if (up || fleet.booting(h) && fleet.bootsInTime(h)) {
                hosts.add(new Planner.Host(
                        h.id(),
                        h.type(),
                        h.zone(),
                        h.spot(),
                        type.size(),
                        up,
                        mine,
                        sessions.known(h.id()).map(Sessions.Session::images).orElse(Set.of())));
            }
        }
        int most = Math.max(8, (settings.state().valueBytes() - RECORD_RESERVE) / RECORD_PER_TASK);
        // A job that fails everywhere takes the room of one task, until one ends well or its user cancels it.
        ToIntFunction<JobRecord> mostTasks = j -> faults.faultyJob(j.id()) ? 1 : most;
        return new Planner.Snapshot(
                timeline.wallTime(),
                jobs,
                hosts,
                settings.teams(),
                places,
                fleet.refused(),
                mostTasks,
                outcomes.ended(),
                leftAlone(jobs),
                leads,
                leads ? headroom.phantoms(options().spareJobs(), timeline.wallTime()) : List.of(),
                targets,
                leads ? progress(jobs) : p -> Duration.ZERO);
    }

    /**
     * A machine as its owner told: also while the owner, though it lives, cannot talk to this controller. Gangs would go without
     * its machines until then; nothing is placed on one before it has been borrowed and has reported here.
     */
    private Optional<Peers.Machine> told(HostRecord h, Map<String, Boolean> trusted) {
        boolean trust =
                trusted.computeIfAbsent(h.owner(), o -> peers.heartbeat(o).isPresent())
                        || membership.isAlive(h.owner(), h.incarnation());
        return trust ? peers.lastTold(h) : Optional.empty();
    }

    /** How long tasks booked together have been under way: since they were first seen here, which is a little late or, after a start, much. */
    private Function<Planner.Started, Duration> progress(List<JobRecord> jobs) {
        Duration now = timeline.now();
        var present = new HashSet<Planner.Started>();
        for (JobRecord j : jobs) {
            for (Claim c : j.claims()) {
                present.add(new Planner.Started(j.id(), c.base()));
            }
        }
        startedAt.keySet().retainAll(present);
        present.forEach(p -> startedAt.putIfAbsent(p, now));
        return p -> now.minus(startedAt.getOrDefault(p, now));
    }

    /**
     * Arrays that another controller looks after and is placing: two that write one record at once only make one of
     * them fail. When a record stays as it is with tasks to place, its home has no room, and any other helps. Under
     * load, a job's placements are gathered, the longer the more changes wait to be written.
     */
    private Set<String> leftAlone(List<JobRecord> jobs) {
        var alone = new HashSet<String>();
        var seen = new HashSet<String>();
        Duration now = timeline.now();
        Duration gather = GATHER_PER_WAITING.multipliedBy(committer.waiting());
        if (gather.compareTo(GATHER_AT_MOST) > 0) {
            gather = GATHER_AT_MOST;
        }
        for (JobRecord j : jobs) {
            if (!j.open() || j.job().gang() || j.unplacedCount() == 0) {
                continue;
            }
            seen.add(j.id());
            Long stamp = replica.stamp(Keys.job(j.id()));
            if (!stamp.equals(stillAt.put(j.id(), stamp))) {
                stillSince.put(j.id(), now);
            }
            boolean home = membership
                    .homeOf(j.id())
                    .filter(settings.nodeName()::equals)
                    .isPresent();
            Duration still = now.minus(stillSince.get(j.id()));
            Duration patience =
                    j.claims().size() >= MANY_UNDER_WAY && gather.compareTo(GATHER_MANY) < 0 ? GATHER_MANY : gather;
            if (still.compareTo(home ? j.claims().isEmpty() ? Duration.ZERO : patience : OTHERS_FIRST.plus(patience))
                    < 0) {
                alone.add(j.id());
            }
        }
        stillAt.keySet().retainAll(seen);
        stillSince.keySet().retainAll(seen);
        return alone;
    }

    private void tellLoad() {
        if (!LOG.isDebugEnabled() || timeline.now().minus(loadToldAt).compareTo(TELL_LOAD_EVERY) < 0) {
            return;
        }
        loadToldAt = timeline.now();
        var byPhase = new TreeMap<String, Double>();
        for (HostRecord h : replica.hosts().values()) {
            if (membership.owns(h)) {
                sessions.known(h.id())
                        .flatMap(s -> s.report)
                        .ifPresent(r -> r.tasks()
                                .forEach(t -> replica.job(t.task().job())
                                        .flatMap(JobRecord::spec)
                                        .ifPresent(spec -> byPhase.merge(
                                                spec.jobClass() + " "
                                                        + t.phase().wire(),
                                                spec.perTask().gpus(),
                                                Double::sum))));
            }
        }
        LOG.debug("accelerators by class and phase: {}", byPhase);
        LOG.debug(
                "load: {} reports, {} calls, {} writes ({} wait, {} in vain), rounds {} (p90 {} ms), plans {} (p50 {} ms, p90 {} ms), state calls {} (p90 {} ms), own {} of {} machines, may write {}/s, {}",
                reportDesk.reports(),
                hostDesk.calls(),
                committer.written(),
                committer.waiting(),
                committer.wasted(),
                rounds.getTotalCount(),
                rounds.getValueAtPercentile(90) / 1000,
                plans.getTotalCount(),
                plans.getValueAtPercentile(50) / 1000,
                plans.getValueAtPercentile(90) / 1000,
                state.latency().getTotalCount(),
                state.latency().getValueAtPercentile(90) / 1000,
                replica.hosts().values().stream().filter(membership::owns).count(),
                replica.hosts().size(),
                Math.round(state.writes().perSecond()),
                committer.kinds());
    }
}
