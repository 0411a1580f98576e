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
    /** Slightly less than the deadline of the requesting cell, {@link CellConnection#DEADLINE}. */
    private static final Duration PATIENCE = Duration.ofMillis(1200);

    private static final Duration LOCK_WAIT = Duration.ofMillis(40);

    private final DelegationContext context;
    private final StateReplica replica;
    private final FederationSettings settings;
    private final CellIdentityKeeper self;
    private final KnownCells known;
    private final InboundDelegationCleanup cleanup;
    private final Function<Submission, Optional<Rejection.Reason>> admission;
    private final java.util.function.Supplier<Optional<List<CapacityHint>>> room;

    /** A requested change, and the reply to send once it is stored. */
    private record Change(JobRecord record, CellReply reply) {}

    /** The decision on a request: either an immediate reply, or a change that has to be stored first. */
    private record Verdict(Optional<Change> change, Optional<CellReply> reply) {
        static Verdict answer(CellReply reply) {
            return new Verdict(Optional.empty(), Optional.of(reply));
        }

        static Verdict store(JobRecord job, CellReply reply) {
            return new Verdict(Optional.of(new Change(job, reply)), Optional.empty());
        }
    }

    /**
     * Creates the service.
     *
     * @param admission why an offered job is declined by the leader's latest plan; empty if it is accepted
     * @param room the capacity hints of this cell; empty without a current plan
     */
    InboundDelegationService(
            DelegationContext context,
            FederationSettings settings,
            CellIdentityKeeper self,
            KnownCells known,
            Function<Submission, Optional<Rejection.Reason>> admission,
            java.util.function.Supplier<Optional<List<CapacityHint>>> room) {
        this.context = context;
        this.replica = context.replica();
        this.settings = settings;
        this.self = self;
        this.known = known;
        this.admission = admission;
        this.room = room;
        this.cleanup = new InboundDelegationCleanup(context, self, known);
    }

    /** Serves a request; the reply may be passed on after this method returns. */
    void handle(CellRequest request, Consumer<CellReply> reply) {
        if (!self.formatReady() || self.id().isEmpty()) {
            reply.accept(CellReply.NotServed.of(CellReply.Reason.NOT_READY));
            return;
        }
        handle(request, context.timeSource().now().plus(PATIENCE), reply);
    }

    private void handle(CellRequest request, Duration until, Consumer<CellReply> reply) {
        replica.refresh(
                () -> served(request, until, reply),
                () -> reply.accept(CellReply.NotServed.of(CellReply.Reason.STATE_UNAVAILABLE)));
    }

    private void served(CellRequest request, Duration until, Consumer<CellReply> reply) {
        Optional<CellReply.Reason> objection = objection(request);
        if (objection.isPresent()) {
            reply.accept(CellReply.NotServed.of(objection.get()));
        } else if (request instanceof CellRequest.Hello hello) {
            reply.accept(greet(hello));
        } else if (request instanceof CellRequest.Progress progress) {
            reply.accept(new CellReply.Reports(reports(progress)));
        } else if (request instanceof CellRequest.Offer offer) {
            carryOut(request, offer.transfer(), offer(offer), until, reply);
        } else if (request instanceof CellRequest.Recall recall) {
            carryOut(request, recall.transfer(), recall(recall), until, reply);
        } else if (request instanceof CellRequest.Cancel cancel) {
            carryOut(request, cancel.transfer(), cancel(cancel), until, reply);
        }
    }

    /** Why a request is not served because of its sender or its addressee; empty if it is served. */
    private Optional<CellReply.Reason> objection(CellRequest request) {
        CellId from = request.from();
        CellId here = self.id().orElseThrow();
        boolean configured =
                settings.cells().stream().anyMatch(cell -> cell.name().equals(from.name()));
        if (!configured || known.unreadable(from.name())) {
            return Optional.of(
                    from.name().equals(here.name()) ? CellReply.Reason.WRONG_IDENTITY : CellReply.Reason.STRANGER);
        }
        Optional<CellReply.Reason> changed = cleanup.objection(request);
        if (changed.isPresent()) {
            return changed;
        }
        return meantFor(request, here) ? Optional.empty() : Optional.of(CellReply.Reason.WRONG_IDENTITY);
    }

    private static boolean meantFor(CellRequest request, CellId here) {
        if (request instanceof CellRequest.Offer offer) {
            return offer.to().sameCell(here);
        }
        if (request instanceof CellRequest.Recall recall) {
            return recall.toIdentity().equals(here.identity());
        }
        if (request instanceof CellRequest.Cancel cancel) {
            return cancel.toIdentity().equals(here.identity());
        }
        return !(request instanceof CellRequest.Progress progress)
                || progress.toIdentity().equals(here.identity());
    }

    private CellReply greet(CellRequest.Hello hello) {
        boolean leads = self.mayGiveAway();
        if (leads) {
            cleanup.heard(hello);
        }
        return new CellReply.Greeting(
                self.id().orElseThrow(), leads, context.membership().leader(), leads ? room.get() : Optional.empty());
    }

    private List<InboundJobStatus> reports(CellRequest.Progress progress) {
        var reports = new ArrayList<InboundJobStatus>();
        for (Transfer transfer : progress.transfers()) {
            reports.add(report(progress.from(), transfer));
        }
        return reports;
    }

    private InboundJobStatus report(CellId from, Transfer transfer) {
        Optional<JobRecord> record = visitor(from, transfer);
        if (record.isEmpty()) {
            InboundJobState state = closed(from, transfer) ? InboundJobState.CLOSED : InboundJobState.UNKNOWN;
            return InboundJobStatus.of(transfer, state);
        }
        return report(transfer, record.get());
    }

    private InboundJobStatus report(Transfer transfer, JobRecord job) {
        Optional<String> waits =
                job.unplacedCount() > 0 ? Optional.of(context.whyWaits().apply(job)) : Optional.empty();
        return new InboundJobStatus(transfer, state(job), job.doneCount(), job.runningCount(), job.failures(), waits);
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
    private Optional<JobRecord> visitor(CellId from, Transfer transfer) {
        return replica.job(transfer.job())
                .filter(job -> job.inboundDelegation()
                        .filter(visit -> visit.origin().equals(from.name()) && visit.transfer() == transfer.number())
                        .isPresent());
    }

    /** Whether the origin has ended a transfer or made a later one of the same job. */
    private boolean closed(CellId from, Transfer transfer) {
        boolean later = replica.job(transfer.job())
                .flatMap(JobRecord::inboundDelegation)
                .filter(visit -> visit.origin().equals(from.name()) && visit.transfer() > transfer.number())
                .isPresent();
        return later
                || transfer.number() < known.cell(from.name()).orElseThrow().floor();
    }

    private Verdict offer(CellRequest.Offer offer) {
        Transfer transfer = offer.transfer();
        Optional<JobRecord> same = visitor(offer.from(), transfer);
        if (same.isPresent()) {
            return answer(report(transfer, same.get()));
        }
        if (closed(offer.from(), transfer)) {
            return answer(InboundJobStatus.of(transfer, InboundJobState.CLOSED));
        }
        if (!self.mayGiveAway()) {
            return Verdict.answer(new CellReply.NotServed(
                    CellReply.Reason.NOT_LEADER, context.membership().leader()));
        }
        if (!offer.to().equals(self.id().orElseThrow())) {
            return Verdict.answer(
                    CellReply.NotServed.of(CellReply.Reason.NOT_READY)); // addressed to an earlier incarnation
        }
        Optional<Verdict> occupied = occupied(offer.from(), transfer);
        if (occupied.isPresent()) {
            return occupied.get();
        }
        InboundDelegation visit = InboundDelegation.of(offer.from().name(), transfer.number());
        Optional<Rejection.Reason> refusal = admission.apply(offer.job());
        if (refusal.isPresent()) {
            return Verdict.store(
                    JobRecord.tombstone(transfer.job(), now(), visit, false),
                    new CellReply.Declined(transfer, Rejection.of(refusal.get())));
        }
        JobRecord taken = JobRecord.acceptedFromOrigin(offer.job(), offer.arrived(), visit);
        return Verdict.store(
                taken, new CellReply.Reports(List.of(InboundJobStatus.of(transfer, InboundJobState.QUEUED))));
    }

    /** The decision if the job's key is in use: permanently by a job of this cell, or temporarily by a job of another cell. */
    private Optional<Verdict> occupied(CellId from, Transfer transfer) {
        Optional<JobRecord> present = replica.job(transfer.job());
        if (replica.isUnreadable(Keys.job(transfer.job()))) {
            return Optional.of(Verdict.answer(CellReply.NotServed.of(CellReply.Reason.ID_IN_USE)));
        }
        if (present.isEmpty()) {
            return Optional.empty();
        }
        if (present.get().inboundDelegation().isEmpty()) {
            return Optional.of(
                    Verdict.answer(new CellReply.Declined(transfer, Rejection.of(Rejection.Reason.ID_TAKEN))));
        }
        boolean sameHome = present.get().inboundDelegation().get().origin().equals(from.name());
        boolean over = present.get().inboundDelegation().get().withdrawn();
        return sameHome && over
                ? Optional.empty()
                : Optional.of(Verdict.answer(CellReply.NotServed.of(CellReply.Reason.ID_IN_USE)));
    }

    private Verdict recall(CellRequest.Recall recall) {
        Transfer transfer = recall.transfer();
        Optional<JobRecord> present = visitor(recall.from(), transfer);
        if (present.isPresent()) {
            JobRecord job = present.get();
            return job.isOpen() && job.neverPlaced()
                    ? Verdict.store(job.withdrawn(), reports(transfer, InboundJobState.WITHDRAWN))
                    : answer(report(transfer, job));
        }
        return tombstone(recall.from(), transfer, false);
    }

    private Verdict cancel(CellRequest.Cancel cancel) {
        Transfer transfer = cancel.transfer();
        Optional<JobRecord> present = visitor(cancel.from(), transfer);
        if (present.isPresent()) {
            JobRecord job = present.get();
            return job.isOpen()
                    ? Verdict.store(job.cancelled(), reports(transfer, InboundJobState.CANCELLED))
                    : answer(report(transfer, job));
        }
        return tombstone(cancel.from(), transfer, true);
    }

    /** Stores that a transfer has ended whose offer has not arrived, so that a later offer is refused. */
    private Verdict tombstone(CellId from, Transfer transfer, boolean cancelled) {
        if (closed(from, transfer)) {
            return answer(InboundJobStatus.of(transfer, InboundJobState.CLOSED));
        }
        InboundJobState ended = cancelled ? InboundJobState.CANCELLED : InboundJobState.WITHDRAWN;
        Optional<Verdict> occupied = occupied(from, transfer);
        if (occupied.isPresent()) {
            boolean forGood = occupied.get()
                    .reply()
                    .filter(CellReply.Declined.class::isInstance)
                    .isPresent();
            return forGood ? Verdict.answer(reports(transfer, ended)) : occupied.get();
        }
        InboundDelegation visit = InboundDelegation.of(from.name(), transfer.number());
        return Verdict.store(JobRecord.tombstone(transfer.job(), now(), visit, cancelled), reports(transfer, ended));
    }

    private Instant now() {
        return context.timeSource().wallTime();
    }

    private static Verdict answer(InboundJobStatus report) {
        return Verdict.answer(new CellReply.Reports(List.of(report)));
    }

    private static CellReply reports(Transfer transfer, InboundJobState state) {
        return new CellReply.Reports(List.of(InboundJobStatus.of(transfer, state)));
    }

    /**
     * Stores a change and then replies. The decision depends on the job's key and on the stored record of the requesting cell: the
     * revisions of both are preconditions, so that a delayed copy of the transaction cannot be applied after the transfer has ended.
     */
    private void carryOut(
            CellRequest request, Transfer transfer, Verdict verdict, Duration until, Consumer<CellReply> reply) {
        if (verdict.reply.isPresent()) {
            reply.accept(verdict.reply.get());
            return;
        }
        String key = Keys.job(transfer.job());
        if (context.commitQueue().isLocked(key)) {
            again(request, until, reply);
            return;
        }
        Change change = verdict.change.orElseThrow();
        String cellKey = Keys.cell(request.from().name());
        Transaction transaction = context.jobWriter()
                .write(new Transaction(), change.record)
                .requireRevision(cellKey, replica.modRevision(cellKey))
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT));
        context.commitQueue().propose(CommitPriority.USERS, transaction, result -> {
            if (result instanceof TransactionResult.Applied) {
                tell(request, change);
                reply.accept(change.reply);
            } else {
                again(request, until, reply);
            }
        });
    }

    private void tell(CellRequest request, Change change) {
        String job = change.record.id();
        String cell = request.from().name();
        if (change.record.isOpen()) {
            context.eventRecorder().record(LOG, "inbound job accepted job={} origin={}", job, cell);
        } else if (change.reply instanceof CellReply.Declined declined) {
            LOG.debug(
                    "inbound job declined job={} origin={} reason={}",
                    job,
                    cell,
                    declined.refusal().reason());
        } else {
            context.eventRecorder()
                    .record(
                            LOG,
                            "inbound job {} job={} origin={}",
                            change.record.inboundDelegation().orElseThrow().withdrawn()
                                    ? "returned to its origin"
                                    : "cancelled by its user",
                            job,
                            cell);
        }
    }

    private void again(CellRequest request, Duration until, Consumer<CellReply> reply) {
        if (context.timeSource().now().compareTo(until) > 0) {
            reply.accept(CellReply.NotServed.of(CellReply.Reason.STATE_UNAVAILABLE));
        } else {
            context.timeSource().schedule(LOCK_WAIT, () -> handle(request, until, reply));
        }
    }
}
