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
    private static final Duration RESEND = Duration.ofSeconds(2);
    private static final Duration ASK_EVERY_AS_LEADER = Duration.ofSeconds(1);
    private static final Duration ASK_EVERY = Duration.ofSeconds(3);
    /** A reported end that the leader has not stored after this time is stored by any controller that has received it. */
    private static final Duration LEADER_FIRST = Duration.ofSeconds(5);

    private static final int MOST_PAUSE_DOUBLINGS = 6;

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper self;
    private final KnownCells known;
    private final Map<String, CellConnection> contacts;
    private final RemoteJobStates reports = new RemoteJobStates();
    private final Map<String, Followed> followed = new HashMap<>();
    /** Stored intents with an unknown commit result: they may still be applied, until their job's record changes. */
    private final Map<String, Unsettled> unsettled = new HashMap<>();

    private final Map<String, Duration> askedAt = new HashMap<>();
    private final Map<String, String> contradictions = new HashMap<>();

    private record Unsettled(long transfer, long stamp) {}

    /** A transfer's phase, when this controller first saw it, and when it last sent a request about it. */
    private static final class Followed {
        final OutboundDelegation delegation;
        final Duration since;
        Duration sentAt;
        boolean sending;
        Optional<Duration> endKnownAt = Optional.empty();

        Followed(OutboundDelegation delegation, Duration since) {
            this.delegation = delegation;
            this.since = since;
            this.sentAt = since.minus(RESEND);
        }
    }

    OutboundDelegationService(
            DelegationContext context,
            CellIdentityKeeper self,
            KnownCells known,
            Map<String, CellConnection> contacts) {
        this.context = context;
        this.replica = context.replica();
        this.self = self;
        this.known = known;
        this.contacts = contacts;
    }

    private Duration now() {
        return context.timeSource().now();
    }

    private boolean leads() {
        return self.mayGiveAway();
    }

    /** Jobs of this cell that a remote cell may hold. */
    List<JobRecord> away() {
        var away = new ArrayList<JobRecord>();
        for (JobRecord job : replica.activeJobs()) {
            if (job.isDelegatedAway()) {
                away.add(job);
            }
        }
        return away;
    }

    /** The lowest open transfer: all transfers of this cell with lower numbers have ended. */
    long floor() {
        unsettled.entrySet().removeIf(entry -> replica.modRevision(Keys.job(entry.getKey())) != entry.getValue().stamp);
        long floor = self.unusedTransfer();
        for (JobRecord job : away()) {
            floor = Math.min(floor, job.outboundDelegation().orElseThrow().transfer());
        }
        for (Unsettled intent : unsettled.values()) {
            floor = Math.min(floor, intent.transfer);
        }
        return floor;
    }

    /** Takes the next step for every job that a remote cell may hold. */
    void tick() {
        List<JobRecord> away = away();
        Set<String> ids = new HashSet<>();
        var toAsk = new LinkedHashMap<String, List<JobRecord>>();
        for (JobRecord job : away) {
            ids.add(job.id());
            CellConnection contact =
                    contacts.get(job.outboundDelegation().orElseThrow().cell());
            if (contact != null) {
                follow(job, contact, toAsk);
            }
        }
        followed.keySet().retainAll(ids);
        contradictions.keySet().retainAll(ids);
        reports.keepOnly(ids);
        tellContradictions(away);
        toAsk.forEach(this::ask);
    }

    private void follow(JobRecord job, CellConnection contact, Map<String, List<JobRecord>> toAsk) {
        OutboundDelegation delegation = job.outboundDelegation().orElseThrow();
        Followed state = followed.get(job.id());
        if (state == null || !state.delegation.equals(delegation)) {
            state = new Followed(delegation, now());
            followed.put(job.id(), state);
        }
        DelegationRules.Step step = DelegationRules.next(view(job, delegation, state));
        contradictions.remove(job.id());
        if (step instanceof DelegationRules.Step.Contradiction contradiction) {
            contradictions.put(job.id(), contradiction.what());
        } else if (step instanceof DelegationRules.Step.StoreDone) {
            end(job, state, job.completedRemotely());
        } else if (step instanceof DelegationRules.Step.StoreCancelled) {
            end(job, state, job.cancelled());
        } else if (leads()) {
            carryOut(step, job, contact, state);
        }
        if (!(step instanceof DelegationRules.Step.SendOffer)) {
            toAsk.computeIfAbsent(contact.name(), name -> new ArrayList<>()).add(job);
        }
    }

    private DelegationRules.View view(JobRecord job, OutboundDelegation delegation, Followed state) {
        Options options = context.options().get();
        return new DelegationRules.View(
                delegation,
                reports.of(job).map(told -> told.report().state()),
                now().minus(state.since),
                options.recallTimeout(),
                again(delegation, options));
    }

    /** When a job may be delegated again: an exponential back-off, which doubles with every transfer. */
    private Instant again(OutboundDelegation delegation, Options options) {
        int doublings = Math.min(MOST_PAUSE_DOUBLINGS, delegation.transfers() - 1);
        return context.timeSource().wallTime().plus(options.delegationBackoff().multipliedBy(1L << doublings));
    }

    /** Records which cells contradict the stored state; nothing is offered to them while they do. */
    private void tellContradictions(List<JobRecord> away) {
        for (CellConnection contact : contacts.values()) {
            Optional<JobRecord> job = away.stream()
                    .filter(one -> contradictions.containsKey(one.id())
                            && one.outboundDelegation().orElseThrow().cell().equals(contact.name()))
                    .findFirst();
            Optional<String> what = job.map(one -> contradictions.get(one.id()));
            if (contact.contradiction(what)) {
                String told = what.map(text -> text + " (job " + job.get().id() + "); nothing more is offered to it")
                        .orElse("its reports agree with the stored state again");
                context.eventRecorder().record(LOG, "cell {}: {}", contact.name(), told);
            }
        }
    }

    private void carryOut(DelegationRules.Step step, JobRecord job, CellConnection contact, Followed state) {
        if (step instanceof DelegationRules.Step.Store store) {
            store(job, job.withDelegationLink(store.delegation()));
        } else if (step instanceof DelegationRules.Step.SendOffer
                && contact.trouble().isEmpty()) {
            contact.freshGreeting()
                    .ifPresent(told -> send(
                            job,
                            contact,
                            state,
                            new CellRequest.Offer(
                                    self.id().orElseThrow(),
                                    told.self(),
                                    transfer(job),
                                    job.arrived(),
                                    job.submission())));
        } else if (step instanceof DelegationRules.Step.SendRecall) {
            known.cell(contact.name())
                    .ifPresent(cell -> send(
                            job,
                            contact,
                            state,
                            new CellRequest.Recall(
                                    self.id().orElseThrow(), cell.id().identity(), transfer(job))));
        }
    }

    private static Transfer transfer(JobRecord job) {
        return new Transfer(job.id(), job.outboundDelegation().orElseThrow().transfer());
    }

    private void send(JobRecord job, CellConnection contact, Followed state, CellRequest request) {
        if (state.sending || !contact.free() || now().minus(state.sentAt).compareTo(RESEND) < 0) {
            return;
        }
        state.sending = true;
        state.sentAt = now();
        Duration asked = now();
        contact.call(
                request,
                reply -> {
                    state.sending = false;
                    answered(job, contact, reply, asked);
                },
                () -> state.sending = false);
    }

    /** Processes a reply about a job, and takes the job's next step immediately. */
    private void answered(JobRecord job, CellConnection contact, CellReply reply, Duration asked) {
        OutboundDelegation.Phase phase = job.outboundDelegation().orElseThrow().phase();
        if (reply instanceof CellReply.Reports told) {
            told.reports().forEach(report -> reports.take(report, phase, asked));
        } else if (reply instanceof CellReply.Declined declined) {
            contact.refused(ResourceKind.of(job.submission()), declined.refusal());
            reports.take(InboundJobStatus.of(declined.transfer(), InboundJobState.WITHDRAWN), phase, asked);
            context.eventRecorder()
                    .record(
                            LOG,
                            "job {}: cell {} {}",
                            job.id(),
                            contact.name(),
                            declined.refusal().reason().words());
        } else if (reply instanceof CellReply.NotServed notServed) {
            LOG.debug(
                    "job {}: cell {} {}",
                    job.id(),
                    contact.name(),
                    notServed.reason().words());
        }
        replica.job(job.id())
                .filter(present -> present.delegationLink().equals(job.delegationLink()) && present.isOpen())
                .ifPresent(present -> follow(present, contact, new HashMap<>()));
    }

    private void ask(String cell, List<JobRecord> jobs) {
        CellConnection contact = contacts.get(cell);
        Optional<FederationRecords.KnownCell> stored = known.cell(cell);
        Duration every = leads() ? ASK_EVERY_AS_LEADER : ASK_EVERY;
        Duration last = askedAt.getOrDefault(cell, Duration.ofDays(-1));
        if (stored.isEmpty()
                || self.id().isEmpty()
                || !contact.free()
                || now().minus(last).compareTo(every) < 0) {
            return;
        }
        askedAt.put(cell, now());
        for (int from = 0; from < jobs.size(); from += CellMessageCodec.MOST_TRANSFERS) {
            List<JobRecord> some = jobs.subList(from, Math.min(jobs.size(), from + CellMessageCodec.MOST_TRANSFERS));
            ask(contact, stored.get().id().identity(), some);
        }
    }

    private void ask(CellConnection contact, String identity, List<JobRecord> jobs) {
        var phases = new HashMap<Transfer, OutboundDelegation.Phase>();
        jobs.forEach(job ->
                phases.put(transfer(job), job.outboundDelegation().orElseThrow().phase()));
        Duration asked = now();
        var request = new CellRequest.Progress(self.id().orElseThrow(), identity, List.copyOf(phases.keySet()));
        contact.call(
                request,
                reply -> {
                    if (reply instanceof CellReply.Reports told) {
                        told.reports().stream()
                                .filter(report -> phases.containsKey(report.transfer()))
                                .forEach(report -> reports.take(report, phases.get(report.transfer()), asked));
                    }
                },
                () -> {});
    }

    /** Stores an end that a remote cell reported: the leader immediately, other controllers only if the leader does not in time. */
    private void end(JobRecord job, Followed state, JobRecord ended) {
        if (state.endKnownAt.isEmpty()) {
            state.endKnownAt = Optional.of(now());
        }
        boolean late = now().minus(state.endKnownAt.get()).compareTo(LEADER_FIRST) > 0;
        if (leads() || late) {
            store(job, ended);
        }
    }

    private void store(JobRecord before, JobRecord after) {
        String key = Keys.job(before.id());
        if (!context.commitQueue().isLocked(key)) {
            context.commitQueue()
                    .propose(CommitPriority.PLACEMENT, context.jobWriter().write(new Transaction(), after), result -> {
                        if (result instanceof TransactionResult.Applied) {
                            tell(before, after);
                        }
                    });
        }
    }

    private void tell(JobRecord before, JobRecord after) {
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
    void give(SpillPolicy.Choice choice) {
        JobRecord job = choice.job();
        String key = Keys.job(job.id());
        OptionalLong number = context.commitQueue().isLocked(key) ? OptionalLong.empty() : self.nextTransfer();
        if (number.isEmpty() || known.cell(choice.cell()).isEmpty()) {
            return;
        }
        OutboundDelegation intent =
                OutboundDelegation.offer(job.outboundDelegation(), choice.cell(), number.getAsLong());
        long stamp = replica.modRevision(key);
        unsettled.put(job.id(), new Unsettled(number.getAsLong(), stamp));
        Transaction transaction =
                self.guarded(context.jobWriter().write(new Transaction(), job.withDelegationLink(intent)));
        context.commitQueue().propose(CommitPriority.PLACEMENT, transaction, result -> {
            if (!(result instanceof TransactionResult.Unknown)) {
                unsettled.remove(job.id());
            }
            if (result instanceof TransactionResult.Applied) {
                context.eventRecorder()
                        .record(LOG, "job cannot be placed here, offering it job={} cell={}", job.id(), choice.cell());
            }
        });
    }

    /** The latest status that the remote cell reported of a delegated job. */
    Optional<RemoteJobStates.Told> told(JobRecord job) {
        return reports.of(job);
    }

    /** How a remote cell's report of a job contradicts the stored state; empty if it does not. */
    Optional<String> contradiction(String job) {
        return Optional.ofNullable(contradictions.get(job));
    }

    /** Records the status that a cancellation returned. */
    void heard(JobRecord job, InboundJobStatus report, Duration asked) {
        reports.take(report, job.outboundDelegation().orElseThrow().phase(), asked);
    }
}
