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
 * Answers other cells. Every answer about a transfer rests on a reading of the state service that began after the request came, and
 * an effect is stored before it is answered. One key, the job's own, holds whatever is known of a transfer, so that an offer and a
 * recall that meet at two controllers can't both succeed.
 */
final class InboundDelegationService {
    private static final Logger LOG = LoggerFactory.getLogger(InboundDelegationService.class);
    /** The asker's deadline is not much longer. */
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

    /** A change that a request asks for, and what is answered once it is stored. */
    private record Change(JobRecord record, CellReply reply) {}

    /** What is to be done about a request: an answer at once, or a change first. */
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
     * @param admission why a job is not taken, by the leader's latest plan
     * @param room what this controller can tell of the cell's room, if it leads
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

    /** Answers a request. */
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

    /** Why a request is not served whatever it asks for. */
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

    /** What is stored of exactly this transfer. */
    private Optional<JobRecord> visitor(CellId from, Transfer transfer) {
        return replica.job(transfer.job())
                .filter(job -> job.inboundDelegation()
                        .filter(visit -> visit.origin().equals(from.name()) && visit.transfer() == transfer.number())
                        .isPresent());
    }

    /** Whether the job's own cell has moved on from a transfer: it ended it, or made a later one. */
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
            return Verdict.answer(CellReply.NotServed.of(CellReply.Reason.NOT_READY)); // meant for an earlier leader
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

    /** The key may hold a job of this cell's own users, for good, or a visitor from elsewhere, for a while. */
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

    /** Stores that a transfer is over of which nothing has come here yet. */
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
     * Stores a change and answers then. What was decided rests on the state of the job's key and on what is known of the asker's cell:
     * both are guarded, so that a late copy of the transaction cannot be applied after the transfer has ended.
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
            context.eventRecorder().record(LOG, "job {} of cell {} is taken in", job, cell);
        } else if (change.reply instanceof CellReply.Declined declined) {
            LOG.debug(
                    "job {} of cell {} is not taken: {}",
                    job,
                    cell,
                    declined.refusal().reason());
        } else {
            context.eventRecorder()
                    .record(
                            LOG,
                            "job {} of cell {} is {} again",
                            job,
                            cell,
                            change.record.inboundDelegation().orElseThrow().withdrawn()
                                    ? "at home"
                                    : "cancelled by its user, and not wanted");
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
