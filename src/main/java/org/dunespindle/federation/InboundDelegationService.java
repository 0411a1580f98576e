package org.dunespindle.federation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.InboundDelegation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the requests of other cells. Every reply about a transfer is based on a read of the state store that began after the request
 * arrived, and an effect is stored before it is confirmed. All state of a transfer is under one key, the job's own, so that of an offer
 * and a recall that arrive at two controllers at the same time only one can succeed.
 */
final class InboundDelegationService {
    private static final Logger LOG = LoggerFactory.getLogger(InboundDelegationService.class);
    /** Slightly less than the deadline of the requesting cell, {@link CellConnection#CALL_TIMEOUT}. */
    private static final Duration RETRY_TIMEOUT = Duration.ofMillis(1200);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(40);

    private final DelegationContext context;
    private final StateReplica replica;
    private final FederationSettings settings;
    private final CellIdentityKeeper identityKeeper;
    private final KnownCells knownCells;
    private final InboundDelegationCleanup cleanup;
    private final Function<Submission, Optional<Rejection.Reason>> admission;
    private final java.util.function.Supplier<Optional<List<CapacityHint>>> capacityHints;

    /**
     * Creates the service.
     *
     * @param admission why an offered job is declined by the leader's latest plan; empty if it is accepted
     * @param capacityHints the capacity hints of this cell; empty without a current plan
     */
    InboundDelegationService(
            DelegationContext context,
            FederationSettings settings,
            CellIdentityKeeper identityKeeper,
            KnownCells knownCells,
            Function<Submission, Optional<Rejection.Reason>> admission,
            java.util.function.Supplier<Optional<List<CapacityHint>>> capacityHints) {
        this.context = context;
        this.replica = context.replica();
        this.settings = settings;
        this.identityKeeper = identityKeeper;
        this.knownCells = knownCells;
        this.admission = admission;
        this.capacityHints = capacityHints;
        this.cleanup = new InboundDelegationCleanup(context, identityKeeper, knownCells);
    }

    /** Serves a request; the reply may be passed on after this method returns. */
    void handle(CellRequest request, Consumer<CellReply> reply) {
        if (!identityKeeper.formatSupported() || identityKeeper.id().isEmpty()) {
            reply.accept(CellReply.NotServed.of(CellReply.Reason.NOT_READY));
            return;
        }
        handle(request, context.timeSource().now().plus(RETRY_TIMEOUT), reply);
    }

    private void handle(CellRequest request, Duration retryDeadline, Consumer<CellReply> reply) {
        replica.refresh(
                () -> serve(request, retryDeadline, reply),
                () -> reply.accept(CellReply.NotServed.of(CellReply.Reason.STATE_UNAVAILABLE)));
    }

    private void serve(CellRequest request, Duration retryDeadline, Consumer<CellReply> reply) {
        Optional<CellReply.Reason> notServedReason = notServedReason(request);
        if (notServedReason.isPresent()) {
            reply.accept(CellReply.NotServed.of(notServedReason.get()));
        } else if (request instanceof CellRequest.Hello hello) {
            reply.accept(greeting(hello));
        } else if (request instanceof CellRequest.Progress progress) {
            reply.accept(new CellReply.Reports(reports(progress)));
        } else if (request instanceof CellRequest.Offer offer) {
            decide(request, offer.transfer(), existing -> offer(offer, existing), retryDeadline, reply);
        } else if (request instanceof CellRequest.Recall recall) {
            decide(request, recall.transfer(), existing -> recall(recall, existing), retryDeadline, reply);
        } else if (request instanceof CellRequest.Cancel cancel) {
            decide(request, cancel.transfer(), existing -> cancel(cancel, existing), retryDeadline, reply);
        }
    }

    /** Decides on a request about a transfer once it is known which record is stored under the job's key. */
    private void decide(
            CellRequest request,
            Transfer transfer,
            Function<Optional<JobRecord>, InboundDecision> decision,
            Duration retryDeadline,
            Consumer<CellReply> reply) {
        if (replica.isUnreadable(Keys.job(transfer.job()))) {
            apply(request, transfer, decision.apply(Optional.empty()), retryDeadline, reply);
            return;
        }
        replica.findJobAfterRefresh(transfer.job(), result -> {
            if (result.isConclusive()) {
                apply(request, transfer, decision.apply(result.job()), retryDeadline, reply);
            } else {
                reply.accept(CellReply.NotServed.of(CellReply.Reason.STATE_UNAVAILABLE));
            }
        });
    }

    /** Why a request is not served because of its sender or its addressee; empty if it is served. */
    private Optional<CellReply.Reason> notServedReason(CellRequest request) {
        CellId from = request.from();
        CellId thisCell = identityKeeper.id().orElseThrow();
        boolean configured =
                settings.cells().stream().anyMatch(cell -> cell.name().equals(from.name()));
        if (!configured || knownCells.unreadable(from.name())) {
            return Optional.of(
                    from.name().equals(thisCell.name()) ? CellReply.Reason.WRONG_IDENTITY : CellReply.Reason.STRANGER);
        }
        Optional<CellReply.Reason> cellReason = cleanup.notServedReason(request);
        if (cellReason.isPresent()) {
            return cellReason;
        }
        return isAddressedTo(request, thisCell) ? Optional.empty() : Optional.of(CellReply.Reason.WRONG_IDENTITY);
    }

    private static boolean isAddressedTo(CellRequest request, CellId thisCell) {
        if (request instanceof CellRequest.Offer offer) {
            return offer.to().sameCell(thisCell);
        }
        if (request instanceof CellRequest.Recall recall) {
            return recall.toIdentity().equals(thisCell.identity());
        }
        if (request instanceof CellRequest.Cancel cancel) {
            return cancel.toIdentity().equals(thisCell.identity());
        }
        return !(request instanceof CellRequest.Progress progress)
                || progress.toIdentity().equals(thisCell.identity());
    }

    private CellReply greeting(CellRequest.Hello hello) {
        boolean leads = identityKeeper.isActiveLeader();
        if (leads) {
            cleanup.onHello(hello);
        }
        return new CellReply.Greeting(
                identityKeeper.id().orElseThrow(),
                leads,
                context.membership().leader(),
                leads ? capacityHints.get() : Optional.empty());
    }

    private List<InboundJobStatus> reports(CellRequest.Progress progress) {
        var reports = new ArrayList<InboundJobStatus>();
        for (Transfer transfer : progress.transfers()) {
            reports.add(report(progress.from(), transfer));
        }
        return reports;
    }

    private InboundJobStatus report(CellId from, Transfer transfer) {
        Optional<JobRecord> record = inboundJob(from, transfer);
        if (record.isEmpty()) {
            InboundJobState state = isClosed(from, transfer) ? InboundJobState.CLOSED : InboundJobState.UNKNOWN;
            return InboundJobStatus.of(transfer, state);
        }
        return report(transfer, record.get());
    }

    private InboundJobStatus report(Transfer transfer, JobRecord job) {
        Optional<String> waitReason =
                job.unplacedCount() > 0 ? Optional.of(context.waitReason().apply(job)) : Optional.empty();
        return new InboundJobStatus(
                transfer, state(job), job.doneCount(), job.runningCount(), job.failures(), waitReason);
    }

    private static InboundJobState state(JobRecord job) {
        return switch (job.outcome()) {
            case DONE -> InboundJobState.DONE;
            case CANCELLED ->
                job.inboundDelegation().orElseThrow().withdrawn()
                        ? InboundJobState.WITHDRAWN
                        : InboundJobState.CANCELLED;
            case OPEN -> job.neverPlaced() ? InboundJobState.QUEUED : InboundJobState.BEGUN;
        };
    }

    /** The stored record of exactly this transfer. */
    private Optional<JobRecord> inboundJob(CellId from, Transfer transfer) {
        return replica.inboundJob(transfer.job())
                .filter(job -> job.inboundDelegation()
                        .filter(delegation ->
                                delegation.origin().equals(from.name()) && delegation.transfer() == transfer.number())
                        .isPresent());
    }

    /** Whether the origin has ended a transfer or made a later one of the same job. */
    private boolean isClosed(CellId from, Transfer transfer) {
        boolean superseded = replica.inboundJob(transfer.job())
                .flatMap(JobRecord::inboundDelegation)
                .filter(delegation ->
                        delegation.origin().equals(from.name()) && delegation.transfer() > transfer.number())
                .isPresent();
        return superseded
                || transfer.number()
                        < knownCells.cell(from.name()).orElseThrow().lowestOpenTransfer();
    }

    private InboundDecision offer(CellRequest.Offer offer, Optional<JobRecord> stored) {
        Transfer transfer = offer.transfer();
        Optional<JobRecord> existing = inboundJob(offer.from(), transfer);
        if (existing.isPresent()) {
            return answer(report(transfer, existing.get()));
        }
        if (isClosed(offer.from(), transfer)) {
            return answer(InboundJobStatus.of(transfer, InboundJobState.CLOSED));
        }
        if (!identityKeeper.isActiveLeader()) {
            return InboundDecision.answer(new CellReply.NotServed(
                    CellReply.Reason.NOT_LEADER, context.membership().leader()));
        }
        if (!offer.to().equals(identityKeeper.id().orElseThrow())) {
            return InboundDecision.answer(
                    CellReply.NotServed.of(CellReply.Reason.NOT_READY)); // addressed to an earlier incarnation
        }
        Optional<InboundDecision> idConflict = idConflict(offer.from(), transfer, stored);
        if (idConflict.isPresent()) {
            return idConflict.get();
        }
        InboundDelegation delegation = InboundDelegation.of(offer.from().name(), transfer.number());
        Optional<Rejection.Reason> rejectionReason = admission.apply(offer.job());
        if (rejectionReason.isPresent()) {
            return InboundDecision.store(
                    JobRecord.tombstone(transfer.job(), now(), delegation, false),
                    new CellReply.Declined(transfer, Rejection.of(rejectionReason.get())));
        }
        JobRecord accepted = JobRecord.acceptedFromOrigin(offer.job(), offer.arrived(), delegation);
        return InboundDecision.store(
                accepted, new CellReply.Reports(List.of(InboundJobStatus.of(transfer, InboundJobState.QUEUED))));
    }

    /** The decision if the job's key is in use: permanently by a job of this cell, or temporarily by a job of another cell. */
    private Optional<InboundDecision> idConflict(CellId from, Transfer transfer, Optional<JobRecord> existing) {
        if (replica.isUnreadable(Keys.job(transfer.job()))) {
            return Optional.of(InboundDecision.answer(CellReply.NotServed.of(CellReply.Reason.ID_IN_USE)));
        }
        if (existing.isEmpty()) {
            return Optional.empty();
        }
        if (existing.get().inboundDelegation().isEmpty()) {
            return Optional.of(
                    InboundDecision.answer(new CellReply.Declined(transfer, Rejection.of(Rejection.Reason.ID_TAKEN))));
        }
        boolean sameOrigin = existing.get().inboundDelegation().get().origin().equals(from.name());
        boolean withdrawn = existing.get().inboundDelegation().get().withdrawn();
        return sameOrigin && withdrawn
                ? Optional.empty()
                : Optional.of(InboundDecision.answer(CellReply.NotServed.of(CellReply.Reason.ID_IN_USE)));
    }

    private InboundDecision recall(CellRequest.Recall recall, Optional<JobRecord> stored) {
        Transfer transfer = recall.transfer();
        Optional<JobRecord> existing = inboundJob(recall.from(), transfer);
        if (existing.isPresent()) {
            JobRecord job = existing.get();
            return job.isOpen() && job.neverPlaced()
                    ? InboundDecision.store(job.withdrawn(), reports(transfer, InboundJobState.WITHDRAWN))
                    : answer(report(transfer, job));
        }
        return tombstone(recall.from(), transfer, stored, false);
    }

    private InboundDecision cancel(CellRequest.Cancel cancel, Optional<JobRecord> stored) {
        Transfer transfer = cancel.transfer();
        Optional<JobRecord> existing = inboundJob(cancel.from(), transfer);
        if (existing.isPresent()) {
            JobRecord job = existing.get();
            return job.isOpen()
                    ? InboundDecision.store(job.cancelled(), reports(transfer, InboundJobState.CANCELLED))
                    : answer(report(transfer, job));
        }
        return tombstone(cancel.from(), transfer, stored, true);
    }

    /** Stores that a transfer has ended whose offer has not arrived, so that a later offer is refused. */
    private InboundDecision tombstone(CellId from, Transfer transfer, Optional<JobRecord> stored, boolean cancelled) {
        if (isClosed(from, transfer)) {
            return answer(InboundJobStatus.of(transfer, InboundJobState.CLOSED));
        }
        InboundJobState ended = cancelled ? InboundJobState.CANCELLED : InboundJobState.WITHDRAWN;
        Optional<InboundDecision> idConflict = idConflict(from, transfer, stored);
        if (idConflict.isPresent()) {
            boolean permanent = idConflict
                    .get()
                    .reply()
                    .filter(CellReply.Declined.class::isInstance)
                    .isPresent();
            return permanent ? InboundDecision.answer(reports(transfer, ended)) : idConflict.get();
        }
        InboundDelegation delegation = InboundDelegation.of(from.name(), transfer.number());
        return InboundDecision.store(
                JobRecord.tombstone(transfer.job(), now(), delegation, cancelled), reports(transfer, ended));
    }

    private Instant now() {
        return context.timeSource().wallTime();
    }

    private static InboundDecision answer(InboundJobStatus report) {
        return InboundDecision.answer(new CellReply.Reports(List.of(report)));
    }

    private static CellReply reports(Transfer transfer, InboundJobState state) {
        return new CellReply.Reports(List.of(InboundJobStatus.of(transfer, state)));
    }

    /**
     * Stores a change and then replies. The decision depends on the job's key and on the stored record of the requesting cell: the
     * revisions of both are preconditions, so that a delayed copy of the transaction cannot be applied after the transfer has ended.
     */
    private void apply(
            CellRequest request,
            Transfer transfer,
            InboundDecision decision,
            Duration retryDeadline,
            Consumer<CellReply> reply) {
        if (decision.reply().isPresent()) {
            reply.accept(decision.reply().get());
            return;
        }
        String key = Keys.job(transfer.job());
        if (context.commitQueue().isLocked(key)) {
            retry(request, retryDeadline, reply);
            return;
        }
        InboundDecision.Change change = decision.change().orElseThrow();
        String cellKey = Keys.cell(request.from().name());
        Transaction transaction = context.jobWriter()
                .write(new Transaction(), change.record())
                .requireRevision(cellKey, replica.modRevision(cellKey))
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT));
        context.commitQueue().propose(CommitPriority.USERS, transaction, result -> {
            if (result instanceof TransactionResult.Applied) {
                recordEvent(request, change);
                reply.accept(change.reply());
            } else {
                retry(request, retryDeadline, reply);
            }
        });
    }

    private void recordEvent(CellRequest request, InboundDecision.Change change) {
        String job = change.record().id();
        String cell = request.from().name();
        if (change.record().isOpen()) {
            context.eventRecorder().record(LOG, "inbound job accepted job={} origin={}", job, cell);
        } else if (change.reply() instanceof CellReply.Declined declined) {
            LOG.debug(
                    "inbound job declined job={} origin={} reason={}",
                    job,
                    cell,
                    declined.rejection().reason());
        } else {
            context.eventRecorder()
                    .record(
                            LOG,
                            "inbound job {} job={} origin={}",
                            change.record().inboundDelegation().orElseThrow().withdrawn()
                                    ? "withdrawn by its origin"
                                    : "cancelled by its user",
                            job,
                            cell);
        }
    }

    private void retry(CellRequest request, Duration retryDeadline, Consumer<CellReply> reply) {
        if (context.timeSource().now().compareTo(retryDeadline) > 0) {
            reply.accept(CellReply.NotServed.of(CellReply.Reason.STATE_UNAVAILABLE));
        } else {
            context.timeSource().schedule(RETRY_INTERVAL, () -> handle(request, retryDeadline, reply));
        }
    }
}
