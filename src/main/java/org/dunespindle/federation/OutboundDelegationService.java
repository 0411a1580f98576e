package org.dunespindle.federation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.Options;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.OutboundDelegation;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Delegates jobs to other cells and tracks them until they have ended or returned. {@link DelegationRules} decides each step; this
 * class sends the requests, stores the results and retries. Only the leader offers and recalls jobs. Every controller polls their
 * progress, to answer the polls of its own users.
 */
final class OutboundDelegationService {
    private static final Logger LOG = LoggerFactory.getLogger(OutboundDelegationService.class);
    private static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);
    private static final Duration LEADER_POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(3);
    /** A reported end that the leader has not stored after this time is stored by any controller that has received it. */
    private static final Duration LEADER_GRACE_PERIOD = Duration.ofSeconds(5);

    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper identity;
    private final KnownCells knownCells;
    private final Map<String, CellConnection> connections;
    private final RemoteJobStates remoteStates = new RemoteJobStates();
    private final Map<String, TrackedTransfer> trackedTransfers = new HashMap<>();
    /** Intents whose commit is pending or has an unknown result: they may still be applied, until their job's record changes. */
    private final Map<String, UnresolvedIntent> unresolvedIntents = new HashMap<>();

    private final Map<String, Duration> lastPollAt = new HashMap<>();
    private final Map<String, String> contradictions = new HashMap<>();

    private record UnresolvedIntent(long transfer, long modRevision) {}

    /** A transfer's phase, when this controller first saw it, and when it last sent a request about it. */
    private static final class TrackedTransfer {
        final OutboundDelegation delegation;
        final Duration since;
        Duration sentAt;
        boolean inFlight;
        Optional<Duration> endReportedAt = Optional.empty();

        TrackedTransfer(OutboundDelegation delegation, Duration since) {
            this.delegation = delegation;
            this.since = since;
            this.sentAt = since.minus(RESEND_INTERVAL);
        }
    }

    OutboundDelegationService(
            DelegationContext context,
            CellIdentityKeeper identity,
            KnownCells knownCells,
            Map<String, CellConnection> connections) {
        this.context = context;
        this.replica = context.replica();
        this.identity = identity;
        this.knownCells = knownCells;
        this.connections = connections;
    }

    private Duration now() {
        return context.timeSource().now();
    }

    private boolean isActiveLeader() {
        return identity.isActiveLeader();
    }

    /** Jobs of this cell that a remote cell may hold. */
    List<JobRecord> delegatedJobs() {
        var delegatedJobs = new ArrayList<JobRecord>();
        for (JobRecord job : replica.activeJobs()) {
            if (job.isDelegatedAway()) {
                delegatedJobs.add(job);
            }
        }
        return delegatedJobs;
    }

    /** The lowest open transfer: all transfers of this cell with lower numbers have ended. */
    long lowestOpenTransfer() {
        unresolvedIntents
                .entrySet()
                .removeIf(entry -> replica.modRevision(Keys.job(entry.getKey())) != entry.getValue().modRevision);
        long lowest = identity.lowestUnallocatedNumber();
        for (JobRecord job : delegatedJobs()) {
            lowest = Math.min(lowest, job.outboundDelegation().orElseThrow().transfer());
        }
        for (UnresolvedIntent intent : unresolvedIntents.values()) {
            lowest = Math.min(lowest, intent.transfer);
        }
        return lowest;
    }

    /** Takes the next step for every job that a remote cell may hold. */
    void tick() {
        List<JobRecord> delegatedJobs = delegatedJobs();
        Set<String> ids = new HashSet<>();
        var toPoll = new LinkedHashMap<String, List<JobRecord>>();
        for (JobRecord job : delegatedJobs) {
            ids.add(job.id());
            CellConnection connection =
                    connections.get(job.outboundDelegation().orElseThrow().cell());
            if (connection != null) {
                advance(job, connection, toPoll);
            }
        }
        trackedTransfers.keySet().retainAll(ids);
        contradictions.keySet().retainAll(ids);
        remoteStates.retainJobs(ids);
        updateContradictions(delegatedJobs);
        toPoll.forEach(this::poll);
    }

    private void advance(JobRecord job, CellConnection connection, Map<String, List<JobRecord>> toPoll) {
        OutboundDelegation delegation = job.outboundDelegation().orElseThrow();
        TrackedTransfer tracked = trackedTransfers.get(job.id());
        if (tracked == null || !tracked.delegation.equals(delegation)) {
            tracked = new TrackedTransfer(delegation, now());
            trackedTransfers.put(job.id(), tracked);
        }
        DelegationRules.Step step = DelegationRules.next(view(job, delegation, tracked));
        contradictions.remove(job.id());
        if (step instanceof DelegationRules.Step.Contradiction contradiction) {
            contradictions.put(job.id(), contradiction.description());
        } else if (step instanceof DelegationRules.Step.StoreDone) {
            storeEnd(job, tracked, job.completedRemotely());
        } else if (step instanceof DelegationRules.Step.StoreCancelled) {
            storeEnd(job, tracked, job.cancelled());
        } else if (isActiveLeader()) {
            execute(step, job, connection, tracked);
        }
        if (!(step instanceof DelegationRules.Step.SendOffer)) {
            toPoll.computeIfAbsent(connection.name(), name -> new ArrayList<>()).add(job);
        }
    }

    private DelegationRules.View view(JobRecord job, OutboundDelegation delegation, TrackedTransfer tracked) {
        Options options = context.options().get();
        return new DelegationRules.View(
                delegation,
                remoteStates.of(job).map(observation -> observation.report().state()),
                now().minus(tracked.since),
                options.recallTimeout(),
                retryAt(delegation, options));
    }

    /** When a job may be delegated again: an exponential back-off, which doubles with every transfer. */
    private Instant retryAt(OutboundDelegation delegation, Options options) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, delegation.transfers() - 1);
        return context.timeSource().wallTime().plus(options.delegationBackoff().multipliedBy(1L << doublings));
    }

    /** Records which cells contradict the stored state; nothing is offered to them while they do. */
    private void updateContradictions(List<JobRecord> delegatedJobs) {
        for (CellConnection connection : connections.values()) {
            Optional<JobRecord> job = delegatedJobs.stream()
                    .filter(other -> contradictions.containsKey(other.id())
                            && other.outboundDelegation().orElseThrow().cell().equals(connection.name()))
                    .findFirst();
            Optional<String> description = job.map(other -> contradictions.get(other.id()));
            if (connection.updateContradiction(description)) {
                String event = description
                        .map(text -> text + " (job " + job.get().id() + "); nothing more is offered to it")
                        .orElse("its reports agree with the stored state again");
                context.eventRecorder().record(LOG, "cell {}: {}", connection.name(), event);
            }
        }
    }

    private void execute(DelegationRules.Step step, JobRecord job, CellConnection connection, TrackedTransfer tracked) {
        if (step instanceof DelegationRules.Step.Store store) {
            store(job, job.withDelegationLink(store.delegation()));
        } else if (step instanceof DelegationRules.Step.SendOffer
                && connection.problem().isEmpty()) {
            connection
                    .currentGreeting()
                    .ifPresent(greeting -> send(
                            job,
                            connection,
                            tracked,
                            new CellRequest.Offer(
                                    identity.id().orElseThrow(),
                                    greeting.self(),
                                    transfer(job),
                                    job.arrived(),
                                    job.submission())));
        } else if (step instanceof DelegationRules.Step.SendRecall) {
            knownCells
                    .cell(connection.name())
                    .ifPresent(cell -> send(
                            job,
                            connection,
                            tracked,
                            new CellRequest.Recall(
                                    identity.id().orElseThrow(), cell.id().identity(), transfer(job))));
        }
    }

    private static Transfer transfer(JobRecord job) {
        return new Transfer(job.id(), job.outboundDelegation().orElseThrow().transfer());
    }

    private void send(JobRecord job, CellConnection connection, TrackedTransfer tracked, CellRequest request) {
        if (tracked.inFlight
                || !connection.canCall()
                || now().minus(tracked.sentAt).compareTo(RESEND_INTERVAL) < 0) {
            return;
        }
        tracked.inFlight = true;
        tracked.sentAt = now();
        Duration requestedAt = now();
        connection.call(
                request,
                reply -> {
                    tracked.inFlight = false;
                    onReply(job, connection, reply, requestedAt);
                },
                () -> tracked.inFlight = false);
    }

    /** Processes a reply about a job, and takes the job's next step immediately. */
    private void onReply(JobRecord job, CellConnection connection, CellReply reply, Duration requestedAt) {
        OutboundDelegation.Phase phase = job.outboundDelegation().orElseThrow().phase();
        if (reply instanceof CellReply.Reports received) {
            received.reports().forEach(report -> remoteStates.record(report, phase, requestedAt));
        } else if (reply instanceof CellReply.Declined declined) {
            connection.recordRejection(ResourceKind.of(job.submission()), declined.rejection());
            remoteStates.record(
                    InboundJobStatus.of(declined.transfer(), InboundJobState.WITHDRAWN), phase, requestedAt);
            context.eventRecorder()
                    .record(
                            LOG,
                            "job {}: cell {} {}",
                            job.id(),
                            connection.name(),
                            declined.rejection().reason().description());
        } else if (reply instanceof CellReply.NotServed notServed) {
            LOG.debug(
                    "job {}: cell {} {}",
                    job.id(),
                    connection.name(),
                    notServed.reason().description());
        }
        replica.activeJob(job.id())
                .filter(present -> present.delegationLink().equals(job.delegationLink()) && present.isOpen())
                .ifPresent(present -> advance(present, connection, new HashMap<>()));
    }

    private void poll(String cell, List<JobRecord> jobs) {
        CellConnection connection = connections.get(cell);
        Optional<FederationRecords.KnownCell> stored = knownCells.cell(cell);
        Duration interval = isActiveLeader() ? LEADER_POLL_INTERVAL : POLL_INTERVAL;
        Duration last = lastPollAt.getOrDefault(cell, Duration.ofDays(-1));
        if (stored.isEmpty()
                || identity.id().isEmpty()
                || !connection.canCall()
                || now().minus(last).compareTo(interval) < 0) {
            return;
        }
        lastPollAt.put(cell, now());
        for (int from = 0; from < jobs.size(); from += CellMessageCodec.MAX_TRANSFERS) {
            List<JobRecord> batch = jobs.subList(from, Math.min(jobs.size(), from + CellMessageCodec.MAX_TRANSFERS));
            poll(connection, stored.get().id().identity(), batch);
        }
    }

    private void poll(CellConnection connection, String toIdentity, List<JobRecord> jobs) {
        var phases = new HashMap<Transfer, OutboundDelegation.Phase>();
        jobs.forEach(job ->
                phases.put(transfer(job), job.outboundDelegation().orElseThrow().phase()));
        Duration requestedAt = now();
        var request = new CellRequest.Progress(identity.id().orElseThrow(), toIdentity, List.copyOf(phases.keySet()));
        connection.call(
                request,
                reply -> {
                    if (reply instanceof CellReply.Reports received) {
                        received.reports().stream()
                                .filter(report -> phases.containsKey(report.transfer()))
                                .forEach(report ->
                                        remoteStates.record(report, phases.get(report.transfer()), requestedAt));
                    }
                },
                () -> {});
    }

    /** Stores an end that a remote cell reported: the leader immediately, other controllers only if the leader does not in time. */
    private void storeEnd(JobRecord job, TrackedTransfer tracked, JobRecord ended) {
        if (tracked.endReportedAt.isEmpty()) {
            tracked.endReportedAt = Optional.of(now());
        }
        boolean overdue = now().minus(tracked.endReportedAt.get()).compareTo(LEADER_GRACE_PERIOD) > 0;
        if (isActiveLeader() || overdue) {
            store(job, ended);
        }
    }

    private void store(JobRecord before, JobRecord after) {
        String key = Keys.job(before.id());
        if (!context.commitQueue().isLocked(key)) {
            context.commitQueue()
                    .propose(CommitPriority.PLACEMENT, context.jobWriter().write(new Transaction(), after), result -> {
                        if (result instanceof TransactionResult.Applied) {
                            recordEvent(before, after);
                        }
                    });
        }
    }

    private void recordEvent(JobRecord before, JobRecord after) {
        OutboundDelegation transfer = before.outboundDelegation().orElseThrow();
        if (!after.isOpen()) {
            context.eventRecorder()
                    .record(
                            LOG,
                            "delegated job ended job={} cell={} outcome={}",
                            before.id(),
                            transfer.cell(),
                            after.outcome());
        } else if (!after.isDelegatedAway()) {
            context.eventRecorder()
                    .record(
                            LOG,
                            "delegated job returned job={} cell={} transfers={}",
                            before.id(),
                            transfer.cell(),
                            transfer.transfers());
        } else {
            LOG.debug(
                    "delegated job changed phase job={} cell={} phase={}",
                    before.id(),
                    transfer.cell(),
                    after.outboundDelegation().orElseThrow().phase());
        }
    }

    /** Stores the intent to offer a job, which precedes the first offer to the remote cell. */
    void offer(SpillPolicy.Choice choice) {
        JobRecord job = choice.job();
        String key = Keys.job(job.id());
        OptionalLong number =
                context.commitQueue().isLocked(key) ? OptionalLong.empty() : identity.allocateTransferNumber();
        if (number.isEmpty() || knownCells.cell(choice.cell()).isEmpty()) {
            return;
        }
        OutboundDelegation intent =
                OutboundDelegation.offer(job.outboundDelegation(), choice.cell(), number.getAsLong());
        long modRevision = replica.modRevision(key);
        unresolvedIntents.put(job.id(), new UnresolvedIntent(number.getAsLong(), modRevision));
        Transaction transaction =
                identity.guarded(context.jobWriter().write(new Transaction(), job.withDelegationLink(intent)));
        context.commitQueue().propose(CommitPriority.PLACEMENT, transaction, result -> {
            if (!(result instanceof TransactionResult.Unknown)) {
                unresolvedIntents.remove(job.id());
            }
            if (result instanceof TransactionResult.Applied) {
                context.eventRecorder()
                        .record(LOG, "job cannot be placed here, offering it job={} cell={}", job.id(), choice.cell());
            }
        });
    }

    /** The latest status that the remote cell reported of a delegated job. */
    Optional<RemoteJobStates.Observation> remoteStatus(JobRecord job) {
        return remoteStates.of(job);
    }

    /** How a remote cell's report of a job contradicts the stored state; empty if it does not. */
    Optional<String> contradiction(String job) {
        return Optional.ofNullable(contradictions.get(job));
    }

    /** Records the status that a cancellation returned. */
    void recordStatus(JobRecord job, InboundJobStatus report, Duration requestedAt) {
        remoteStates.record(report, job.outboundDelegation().orElseThrow().phase(), requestedAt);
    }
}
