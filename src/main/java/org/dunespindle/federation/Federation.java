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
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration HELLO_INTERVAL = Duration.ofSeconds(2);
    /** Plans older than this are not used to estimate capacity. */
    private static final Duration MAX_PLAN_AGE = Duration.ofSeconds(5);
    /** A job that no plan reported as a shortfall for this long no longer counts as waiting without interruption. */
    private static final Duration SHORTFALL_EXPIRY = Duration.ofSeconds(5);
    /** After delegating or accepting work of a kind, a cell does not do the opposite for this long. */
    private static final Duration DIRECTION_HOLD_TIME = Duration.ofSeconds(60);

    private static final int MAX_OFFERS_PER_TICK = 4;
    private static final int MAX_PENDING_COMMITS = 8;

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper identityKeeper;
    private final KnownCells knownCells;
    private final Map<String, CellConnection> connections = new LinkedHashMap<>();
    private final OutboundDelegationService outboundDelegations;
    private final InboundDelegationService inboundDelegations;
    private final CellAbandonment abandonment;
    private final FederationAdmin admin;

    private Optional<SurveyedPlan> latestPlan = Optional.empty();
    private final Map<String, ShortfallPeriod> shortfalls = new HashMap<>();
    private final Map<ResourceKind, Duration> lastDelegatedAt = new HashMap<>();
    private final Map<ResourceKind, Duration> lastAcceptedAt = new HashMap<>();
    private final Map<String, Duration> lastHelloAt = new HashMap<>();

    /** The latest plan, with a survey that is computed on first use. */
    private static final class SurveyedPlan {
        final ClusterSnapshot snapshot;
        final Plan plan;
        final Duration plannedAt;
        Optional<CapacitySurvey> survey = Optional.empty();

        SurveyedPlan(ClusterSnapshot snapshot, Plan plan, Duration plannedAt) {
            this.snapshot = snapshot;
            this.plan = plan;
            this.plannedAt = plannedAt;
        }
    }

    /** The period over which successive plans could not place a job. */
    private record ShortfallPeriod(Duration since, Duration last) {}

    /** Creates the federation of one controller; no request is sent before {@link #start}. */
    public Federation(
            DelegationContext context, FederationSettings settings, CellTransport transport, RandomGenerator random) {
        this.context = context;
        this.replica = context.replica();
        this.identityKeeper = new CellIdentityKeeper(context, settings.cell(), random);
        this.knownCells = new KnownCells(replica);
        settings.cells()
                .forEach(cell ->
                        connections.put(cell.name(), new CellConnection(cell, transport, context.timeSource())));
        this.outboundDelegations = new OutboundDelegationService(context, identityKeeper, knownCells, connections);
        this.inboundDelegations = new InboundDelegationService(
                context, settings, identityKeeper, knownCells, this::rejectionReason, this::capacityHints);
        this.abandonment = new CellAbandonment(context, identityKeeper, knownCells);
        this.admin = new FederationAdmin(context, identityKeeper, knownCells, connections, outboundDelegations);
    }

    /** Serves a request of another cell. The reply may be passed on after this method returns. */
    public void handle(CellRequest request, Consumer<CellReply> reply) {
        inboundDelegations.handle(request, reply);
    }

    @Override
    public void start() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.error("federation round failed, retrying with the next one", e);
        }
        context.timeSource().schedule(TICK_INTERVAL, this::start);
    }

    private void tick() {
        identityKeeper.tick();
        if (!identityKeeper.formatSupported() || identityKeeper.id().isEmpty()) {
            return;
        }
        outboundDelegations.tick();
        if (!identityKeeper.isActiveLeader()) {
            latestPlan = Optional.empty();
            shortfalls.clear();
            return;
        }
        List<JobRecord> delegatedJobs = outboundDelegations.delegatedJobs();
        connections.keySet().forEach(cell -> abandonment.tick(cell, delegatedJobs));
        connections.values().forEach(this::sendHello);
        recordAcceptedKinds();
        offerJobs();
    }

    private Duration now() {
        return context.timeSource().now();
    }

    private void sendHello(CellConnection connection) {
        boolean abandoned = knownCells
                .cell(connection.name())
                .filter(FederationRecords.KnownCell::abandoned)
                .isPresent();
        Duration last = lastHelloAt.getOrDefault(connection.name(), HELLO_INTERVAL.negated());
        if (abandoned || !connection.canCall() || now().minus(last).compareTo(HELLO_INTERVAL) < 0) {
            return;
        }
        Duration requestedAt = now();
        lastHelloAt.put(connection.name(), requestedAt);
        connection.call(
                new CellRequest.Hello(identityKeeper.id().orElseThrow(), outboundDelegations.lowestOpenTransfer()),
                reply -> onHelloReply(connection, reply, requestedAt),
                () -> {});
    }

    private void onHelloReply(CellConnection connection, CellReply reply, Duration requestedAt) {
        Optional<String> problem = Optional.empty();
        if (reply instanceof CellReply.NotServed notServed) {
            problem = notServed.reason().needsOperator()
                    ? Optional.of("it " + notServed.reason().description())
                    : connection.greetingProblem();
        } else if (reply instanceof CellReply.Greeting greeting) {
            connection.recordGreeting(greeting, requestedAt);
            problem = identityProblem(connection.name(), greeting.self());
            if (problem.isEmpty()
                    && knownCells.cell(connection.name()).isEmpty()
                    && !knownCells.unreadable(connection.name())) {
                storeIdentity(greeting.self());
            }
        }
        if (connection.updateGreetingProblem(problem)) {
            String event = problem.map(text -> text + "; nothing more is offered to it")
                    .orElse("the problem is resolved");
            context.eventRecorder().record(LOG, "cell {}: {}", connection.name(), event);
        }
    }

    /** A problem with a cell's identity compared with the stored one; empty if they agree. */
    private Optional<String> identityProblem(String name, CellId reported) {
        if (!reported.name().equals(name)) {
            return Optional.of("a cell named " + reported.name() + " answers at its address");
        }
        return knownCells.cell(name).map(FederationRecords.KnownCell::id).flatMap(stored -> {
            if (!stored.sameCell(reported)) {
                return Optional.of("another cell answers by this name: it was rebuilt empty, or two bear the name");
            }
            boolean older = reported.incarnation() < stored.incarnation()
                    || (reported.incarnation() == stored.incarnation()
                            && !reported.nonce().equals(stored.nonce()));
            return older ? Optional.of("its state was put back to an older one") : Optional.empty();
        });
    }

    /** Stores a cell's identity at first contact. Nothing is offered to the cell before that is stored. */
    private void storeIdentity(CellId cell) {
        String key = Keys.cell(cell.name());
        if (!context.commitQueue().isLocked(key)) {
            Transaction transaction = identityKeeper
                    .guarded(new Transaction())
                    .requireRevision(key, replica.modRevision(key))
                    .write(key, FederationRecords.write(new FederationRecords.KnownCell(cell, 0, false)));
            context.commitQueue().propose(CommitPriority.MAINTENANCE, transaction, result -> {});
        }
    }

    // Capacity, and the jobs that wait for it

    @Override
    public void onPlan(ClusterSnapshot snapshot, Plan plan) {
        if (!identityKeeper.isActiveLeader()) {
            return;
        }
        latestPlan = Optional.of(new SurveyedPlan(snapshot, plan, now()));
        for (Shortfall shortfall : plan.shortfalls()) {
            JobRecord job = shortfall.job();
            if (SpillPolicy.isDelegable(job)) {
                shortfalls.merge(
                        job.id(),
                        new ShortfallPeriod(now(), now()),
                        (before, now) -> new ShortfallPeriod(before.since, now.last));
            }
        }
        shortfalls.values().removeIf(shortfall -> now().minus(shortfall.last).compareTo(SHORTFALL_EXPIRY) > 0);
    }

    private Optional<CapacitySurvey> survey() {
        return latestPlan
                .filter(plan -> now().minus(plan.plannedAt).compareTo(MAX_PLAN_AGE) < 0)
                .map(plan -> {
                    if (plan.survey.isEmpty()) {
                        plan.survey = Optional.of(new CapacitySurvey(
                                plan.snapshot, plan.plan, context.machineTypes().get()));
                    }
                    return plan.survey.get();
                });
    }

    private Optional<List<CapacityHint>> capacityHints() {
        return survey().map(CapacitySurvey::hints);
    }

    private Optional<Rejection.Reason> rejectionReason(Submission job) {
        Optional<CapacitySurvey> survey = survey();
        Optional<DelegationContext.FeasibilityResult> never =
                context.feasibility().apply(job);
        if (survey.isEmpty() || never.isEmpty()) {
            return Optional.of(Rejection.Reason.NO_ROOM);
        }
        int openJobs = 0;
        for (JobRecord inboundJob : replica.inboundJobs()) {
            openJobs += inboundJob.isOpen() ? 1 : 0;
        }
        Optional<Rejection.Reason> reason = AdmissionPolicy.rejectionReason(
                job,
                new AdmissionPolicy.View(
                        survey.get(),
                        never.get().infeasibilityReason(),
                        openJobs,
                        context.options().get().maxInboundJobs(),
                        delegatedKinds()));
        if (reason.isEmpty()) {
            lastAcceptedAt.put(ResourceKind.of(job), now());
        }
        return reason;
    }

    private List<JobRecord> jobsToDelegate() {
        Duration delay = context.options().get().delegationDelay();
        var jobs = new ArrayList<JobRecord>();
        shortfalls.forEach((id, shortfall) -> {
            if (now().minus(shortfall.since).compareTo(delay) >= 0) {
                replica.activeJob(id).filter(SpillPolicy::isDelegable).ifPresent(jobs::add);
            }
        });
        return jobs;
    }

    /** Kinds of work that this cell delegates: of jobs that are due for it, have an unconfirmed transfer, or were delegated recently. */
    private List<ResourceKind> delegatedKinds() {
        lastDelegatedAt.values().removeIf(at -> now().minus(at).compareTo(DIRECTION_HOLD_TIME) > 0);
        var kinds = new ArrayList<>(lastDelegatedAt.keySet());
        jobsToDelegate().forEach(job -> kinds.add(ResourceKind.of(job.submission())));
        for (JobRecord job : outboundDelegations.delegatedJobs()) {
            if (job.outboundDelegation().orElseThrow().phase() != OutboundDelegation.Phase.ACCEPTED) {
                kinds.add(ResourceKind.of(job.submission()));
            }
        }
        return kinds;
    }

    private void recordAcceptedKinds() {
        lastAcceptedAt.values().removeIf(at -> now().minus(at).compareTo(DIRECTION_HOLD_TIME) > 0);
        for (JobRecord inboundJob : replica.inboundJobs()) {
            if (inboundJob.isOpen() && inboundJob.neverPlaced()) {
                lastAcceptedAt.put(ResourceKind.of(inboundJob.submission()), now());
            }
        }
    }

    private void offerJobs() {
        if (survey().isEmpty() || context.commitQueue().pendingCount() > MAX_PENDING_COMMITS) {
            return;
        }
        Options options = context.options().get();
        var view = new SpillPolicy.View(
                context.timeSource().wallTime(),
                jobsToDelegate(),
                targets(),
                List.copyOf(lastAcceptedAt.keySet()),
                options.maxDelegationsPerJob(),
                MAX_OFFERS_PER_TICK);
        for (SpillPolicy.Choice choice : SpillPolicy.choose(view)) {
            lastDelegatedAt.put(ResourceKind.of(choice.job().submission()), now());
            outboundDelegations.offer(choice);
        }
    }

    private List<SpillPolicy.Target> targets() {
        var targets = new ArrayList<SpillPolicy.Target>();
        for (CellConnection connection : connections.values()) {
            Optional<FederationRecords.KnownCell> cell = knownCells.cell(connection.name());
            boolean usable = connection.problem().isEmpty()
                    && cell.filter(stored -> !stored.abandoned()).isPresent();
            Optional<List<CapacityHint>> hints =
                    connection.currentGreeting().flatMap(CellReply.Greeting::capacityHints);
            if (usable && hints.isPresent()) {
                targets.add(new SpillPolicy.Target(
                        connection.name(),
                        hints.get(),
                        kind -> connection.recentRejection(kind).isPresent()));
            }
        }
        return targets;
    }

    // Requests of users and operators

    @Override
    public void cancel(JobRecord job, Consumer<Cancellation> onOutcome) {
        OutboundDelegation delegation = job.outboundDelegation().orElseThrow();
        CellConnection connection = connections.get(delegation.cell());
        Optional<FederationRecords.KnownCell> cell = knownCells.cell(delegation.cell());
        if (connection == null || cell.isEmpty() || identityKeeper.id().isEmpty() || !connection.canCallForUser()) {
            onOutcome.accept(Cancellation.UNKNOWN);
            return;
        }
        Duration requestedAt = now();
        CancellationCall.start(
                connection,
                identityKeeper.id().get(),
                cell.get().id().identity(),
                job,
                report -> outboundDelegations.recordStatus(job, report, requestedAt),
                onOutcome);
    }

    @Override
    public Optional<RemoteProgress> progress(JobRecord job) {
        return outboundDelegations.remoteStatus(job).map(observation -> {
            InboundJobStatus report = observation.report();
            boolean begun = report.state() == InboundJobState.BEGUN || report.state() == InboundJobState.DONE;
            return new RemoteProgress(
                    job.outboundDelegation().orElseThrow().cell(),
                    begun,
                    report.done(),
                    report.running(),
                    report.failures(),
                    now().minus(observation.requestedAt()));
        });
    }

    @Override
    public Optional<String> waitReason(JobRecord job) {
        return admin.waitReason(job);
    }

    @Override
    public boolean handleAdminRequest(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        return admin.handle(method, path, body, answer);
    }
}
