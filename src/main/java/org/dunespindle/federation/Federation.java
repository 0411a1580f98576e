package org.dunespindle.federation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dunespindle.api.AdminResponse;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.Options;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.Shortfall;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.OutboundDelegation;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connects a controller to a federation of cells: serves requests of other cells, and delegates jobs that this cell cannot place. */
public final class Federation implements JobDelegation {
    private static final Logger LOG = LoggerFactory.getLogger(Federation.class);
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration HELLO_EVERY = Duration.ofSeconds(2);
    /** Plans older than this are not used to estimate capacity. */
    private static final Duration PLAN_FRESH = Duration.ofSeconds(5);
    /** A job that no plan reported as a shortfall for this long no longer counts as waiting without interruption. */
    private static final Duration LACK_FORGOTTEN = Duration.ofSeconds(5);
    /** After delegating or accepting work of a kind, a cell does not do the opposite for this long. */
    private static final Duration SAME_DIRECTION = Duration.ofSeconds(60);

    private static final int OFFERS_AT_ONCE = 4;
    private static final int MOST_COMMITS_WAITING = 8;

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper self;
    private final KnownCells known;
    private final Map<String, CellConnection> contacts = new LinkedHashMap<>();
    private final OutboundDelegationService delegations;
    private final InboundDelegationService visitors;
    private final CellAbandonment abandonment;
    private final FederationAdmin admin;

    private Optional<Planned> planned = Optional.empty();
    private final Map<String, Lack> lacks = new HashMap<>();
    private final Map<ResourceKind, Duration> gaveAway = new HashMap<>();
    private final Map<ResourceKind, Duration> tookIn = new HashMap<>();
    private final Map<String, Duration> saidHelloAt = new HashMap<>();

    /** The latest plan, with a survey that is computed on first use. */
    private static final class Planned {
        final ClusterSnapshot snapshot;
        final Plan plan;
        final Duration at;
        Optional<CapacitySurvey> survey = Optional.empty();

        Planned(ClusterSnapshot snapshot, Plan plan, Duration at) {
            this.snapshot = snapshot;
            this.plan = plan;
            this.at = at;
        }
    }

    /** The period over which successive plans could not place a job. */
    private record Lack(Duration since, Duration last) {}

    /** Creates the federation of one controller; no request is sent before {@link #start}. */
    public Federation(
            DelegationContext context, FederationSettings settings, CellTransport transport, RandomGenerator random) {
        this.context = context;
        this.replica = context.replica();
        this.self = new CellIdentityKeeper(context, settings.cell(), random);
        this.known = new KnownCells(replica);
        settings.cells()
                .forEach(cell -> contacts.put(cell.name(), new CellConnection(cell, transport, context.timeSource())));
        this.delegations = new OutboundDelegationService(context, self, known, contacts);
        this.visitors = new InboundDelegationService(context, settings, self, known, this::admission, this::room);
        this.abandonment = new CellAbandonment(context, self, known);
        this.admin = new FederationAdmin(context, self, known, contacts, delegations);
    }

    /** Serves a request of another cell. The reply may be passed on after this method returns. */
    public void handle(CellRequest request, Consumer<CellReply> reply) {
        visitors.handle(request, reply);
    }

    @Override
    public void start() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.error("federation round failed, retrying with the next one", e);
        }
        context.timeSource().schedule(TICK, this::start);
    }

    private void tick() {
        self.tick();
        if (!self.formatReady() || self.id().isEmpty()) {
            return;
        }
        delegations.tick();
        if (!self.mayGiveAway()) {
            planned = Optional.empty();
            lacks.clear();
            return;
        }
        List<JobRecord> away = delegations.away();
        contacts.keySet().forEach(cell -> abandonment.tick(cell, away));
        contacts.values().forEach(this::sayHello);
        noteVisitors();
        giveAway();
    }

    private Duration now() {
        return context.timeSource().now();
    }

    private void sayHello(CellConnection contact) {
        boolean abandoned = known.cell(contact.name())
                .filter(FederationRecords.KnownCell::abandoned)
                .isPresent();
        Duration last = saidHelloAt.getOrDefault(contact.name(), HELLO_EVERY.negated());
        if (abandoned || !contact.free() || now().minus(last).compareTo(HELLO_EVERY) < 0) {
            return;
        }
        Duration asked = now();
        saidHelloAt.put(contact.name(), asked);
        contact.call(
                new CellRequest.Hello(self.id().orElseThrow(), delegations.floor()),
                reply -> greeted(contact, reply, asked),
                () -> {});
    }

    private void greeted(CellConnection contact, CellReply reply, Duration asked) {
        Optional<String> trouble = Optional.empty();
        if (reply instanceof CellReply.NotServed notServed) {
            trouble = notServed.reason().needsOperator()
                    ? Optional.of("it " + notServed.reason().words())
                    : contact.greetingTrouble();
        } else if (reply instanceof CellReply.Greeting told) {
            contact.greeted(told, asked);
            trouble = identityTrouble(contact.name(), told.self());
            if (trouble.isEmpty() && known.cell(contact.name()).isEmpty() && !known.unreadable(contact.name())) {
                remember(told.self());
            }
        }
        if (contact.greetingTrouble(trouble)) {
            String what = trouble.map(text -> text + "; nothing more is offered to it")
                    .orElse("all is well again");
            context.eventRecorder().record(LOG, "cell {}: {}", contact.name(), what);
        }
    }

    /** A problem with a cell's identity compared with the stored one; empty if they agree. */
    private Optional<String> identityTrouble(String name, CellId told) {
        if (!told.name().equals(name)) {
            return Optional.of("a cell named " + told.name() + " answers at its address");
        }
        return known.cell(name).map(FederationRecords.KnownCell::id).flatMap(before -> {
            if (!before.sameCell(told)) {
                return Optional.of("another cell answers by this name: it was rebuilt empty, or two bear the name");
            }
            boolean older = told.incarnation() < before.incarnation()
                    || (told.incarnation() == before.incarnation()
                            && !told.mark().equals(before.mark()));
            return older ? Optional.of("its state was put back to an older one") : Optional.empty();
        });
    }

    /** Stores a cell's identity at first contact. Nothing is offered to the cell before that is stored. */
    private void remember(CellId cell) {
        String key = Keys.cell(cell.name());
        if (!context.commitQueue().isLocked(key)) {
            Transaction transaction = self.guarded(new Transaction())
                    .requireRevision(key, replica.modRevision(key))
                    .write(key, FederationRecords.write(new FederationRecords.KnownCell(cell, 0, false)));
            context.commitQueue().propose(CommitPriority.MAINTENANCE, transaction, result -> {});
        }
    }

    // Capacity, and the jobs that wait for it

    @Override
    public void planned(ClusterSnapshot snapshot, Plan plan) {
        if (!self.mayGiveAway()) {
            return;
        }
        planned = Optional.of(new Planned(snapshot, plan, now()));
        for (Shortfall shortfall : plan.shortfalls()) {
            JobRecord job = shortfall.job();
            if (SpillPolicy.movable(job)) {
                lacks.merge(job.id(), new Lack(now(), now()), (before, now) -> new Lack(before.since, now.last));
            }
        }
        lacks.values().removeIf(lack -> now().minus(lack.last).compareTo(LACK_FORGOTTEN) > 0);
    }

    private Optional<CapacitySurvey> survey() {
        return planned.filter(plan -> now().minus(plan.at).compareTo(PLAN_FRESH) < 0)
                .map(plan -> {
                    if (plan.survey.isEmpty()) {
                        plan.survey = Optional.of(new CapacitySurvey(
                                plan.snapshot, plan.plan, context.machineTypes().get()));
                    }
                    return plan.survey.get();
                });
    }

    private Optional<List<CapacityHint>> room() {
        return survey().map(CapacitySurvey::hints);
    }

    private Optional<Rejection.Reason> admission(Submission job) {
        Optional<CapacitySurvey> survey = survey();
        Optional<DelegationContext.NeverVerdict> never = context.whyNever().apply(job);
        if (survey.isEmpty() || never.isEmpty()) {
            return Optional.of(Rejection.Reason.NO_ROOM);
        }
        int open = 0;
        for (JobRecord visitor : replica.inboundJobs()) {
            open += visitor.isOpen() ? 1 : 0;
        }
        Optional<Rejection.Reason> refusal = AdmissionPolicy.refusal(
                job,
                new AdmissionPolicy.View(
                        survey.get(),
                        never.get().why(),
                        open,
                        context.options().get().maxInboundJobs(),
                        givesAway()));
        if (refusal.isEmpty()) {
            tookIn.put(ResourceKind.of(job), now());
        }
        return refusal;
    }

    private List<JobRecord> waitedLong() {
        Duration patience = context.options().get().delegationDelay();
        var jobs = new ArrayList<JobRecord>();
        lacks.forEach((id, lack) -> {
            if (now().minus(lack.since).compareTo(patience) >= 0) {
                replica.job(id).filter(SpillPolicy::movable).ifPresent(jobs::add);
            }
        });
        return jobs;
    }

    /** Kinds of work that this cell delegates: of jobs that are due for it, have an unconfirmed transfer, or were delegated recently. */
    private List<ResourceKind> givesAway() {
        gaveAway.values().removeIf(at -> now().minus(at).compareTo(SAME_DIRECTION) > 0);
        var kinds = new ArrayList<>(gaveAway.keySet());
        waitedLong().forEach(job -> kinds.add(ResourceKind.of(job.submission())));
        for (JobRecord job : delegations.away()) {
            if (job.outboundDelegation().orElseThrow().phase() != OutboundDelegation.Phase.ACCEPTED) {
                kinds.add(ResourceKind.of(job.submission()));
            }
        }
        return kinds;
    }

    private void noteVisitors() {
        tookIn.values().removeIf(at -> now().minus(at).compareTo(SAME_DIRECTION) > 0);
        for (JobRecord visitor : replica.inboundJobs()) {
            if (visitor.isOpen() && visitor.neverPlaced()) {
                tookIn.put(ResourceKind.of(visitor.submission()), now());
            }
        }
    }

    private void giveAway() {
        if (survey().isEmpty() || context.commitQueue().pendingCount() > MOST_COMMITS_WAITING) {
            return;
        }
        Options options = context.options().get();
        var view = new SpillPolicy.View(
                context.timeSource().wallTime(),
                waitedLong(),
                targets(),
                List.copyOf(tookIn.keySet()),
                options.maxDelegationsPerJob(),
                OFFERS_AT_ONCE);
        for (SpillPolicy.Choice choice : SpillPolicy.choose(view)) {
            gaveAway.put(ResourceKind.of(choice.job().submission()), now());
            delegations.give(choice);
        }
    }

    private List<SpillPolicy.Target> targets() {
        var targets = new ArrayList<SpillPolicy.Target>();
        for (CellConnection contact : contacts.values()) {
            Optional<FederationRecords.KnownCell> cell = known.cell(contact.name());
            boolean usable = contact.trouble().isEmpty()
                    && cell.filter(stored -> !stored.abandoned()).isPresent();
            Optional<List<CapacityHint>> room = contact.freshGreeting().flatMap(CellReply.Greeting::room);
            if (usable && room.isPresent()) {
                targets.add(new SpillPolicy.Target(
                        contact.name(),
                        room.get(),
                        kind -> contact.refusal(kind).isPresent()));
            }
        }
        return targets;
    }

    // Requests of users and operators

    @Override
    public void cancel(JobRecord job, Consumer<Cancellation> then) {
        OutboundDelegation delegation = job.outboundDelegation().orElseThrow();
        CellConnection contact = contacts.get(delegation.cell());
        Optional<FederationRecords.KnownCell> cell = known.cell(delegation.cell());
        if (contact == null || cell.isEmpty() || self.id().isEmpty() || !contact.freeForUsers()) {
            then.accept(Cancellation.UNKNOWN);
            return;
        }
        Duration asked = now();
        CancellationCall.start(
                contact,
                self.id().get(),
                cell.get().id().identity(),
                job,
                report -> delegations.heard(job, report, asked),
                then);
    }

    @Override
    public Optional<RemoteProgress> progress(JobRecord job) {
        return delegations.told(job).map(told -> {
            InboundJobStatus report = told.report();
            boolean begun = report.state() == InboundJobState.BEGUN || report.state() == InboundJobState.DONE;
            return new RemoteProgress(
                    job.outboundDelegation().orElseThrow().cell(),
                    begun,
                    report.done(),
                    report.running(),
                    report.failures(),
                    now().minus(told.asked()));
        });
    }

    @Override
    public Optional<String> whyWaits(JobRecord job) {
        return admin.whyWaits(job);
    }

    @Override
    public boolean administer(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        return admin.handle(method, path, body, answer);
    }
}
