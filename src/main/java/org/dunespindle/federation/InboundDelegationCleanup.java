package org.dunespindle.federation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.storage.InboundDelegation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the stored records of the cells that send requests here. A hello carries the cell's lowest open transfer: all of its
 * transfers with lower numbers have ended. Their records are removed in the same transaction that raises the stored number; later
 * messages about them are refused by their transfer number alone.
 */
final class InboundDelegationCleanup {
    private static final Logger LOG = LoggerFactory.getLogger(InboundDelegationCleanup.class);
    private static final Duration EVERY = Duration.ofSeconds(5);

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper self;
    private final KnownCells known;
    private final Map<String, Duration> cleanedAt = new HashMap<>();

    InboundDelegationCleanup(DelegationContext context, CellIdentityKeeper self, KnownCells known) {
        this.context = context;
        this.replica = context.replica();
        this.self = self;
        this.known = known;
    }

    /** Why a cell is not served because of its identity or its incarnation; empty if it is served. */
    Optional<CellReply.Reason> objection(CellRequest request) {
        CellId from = request.from();
        Optional<FederationRecords.KnownCell> stored = known.cell(from.name());
        boolean hello = request instanceof CellRequest.Hello;
        if (stored.isEmpty()) {
            return hello ? Optional.empty() : Optional.of(CellReply.Reason.NOT_READY);
        }
        CellId before = stored.get().id();
        if (stored.get().abandoned()) {
            return Optional.of(CellReply.Reason.ABANDONED);
        }
        if (!before.sameCell(from)) {
            return Optional.of(CellReply.Reason.WRONG_IDENTITY);
        }
        boolean older = from.incarnation() < before.incarnation()
                || (from.incarnation() == before.incarnation() && !from.mark().equals(before.mark()));
        if (older && (hello || request instanceof CellRequest.Offer)) {
            return Optional.of(CellReply.Reason.STALE);
        }
        return request instanceof CellRequest.Hello greeting
                ? floorObjection(greeting, stored.get())
                : Optional.empty();
    }

    private Optional<CellReply.Reason> floorObjection(CellRequest.Hello hello, FederationRecords.KnownCell stored) {
        if (hello.floor() < stored.floor()) {
            return Optional.of(CellReply.Reason.FLOOR_WENT_BACK);
        }
        for (JobRecord job : replica.inboundJobs()) {
            if (job.isOpen() && below(job, hello.from().name(), hello.floor())) {
                return Optional.of(CellReply.Reason.ENDED_JOBS_RUN);
            }
        }
        return Optional.empty();
    }

    private static boolean below(JobRecord job, String home, long floor) {
        InboundDelegation visit = job.inboundDelegation().orElseThrow();
        return visit.origin().equals(home) && visit.transfer() < floor;
    }

    /** Stores the requesting cell's identity, and removes the records of its ended transfers; called on the leader only. */
    void heard(CellRequest.Hello hello) {
        CellId from = hello.from();
        String key = Keys.cell(from.name());
        if (context.commitQueue().isLocked(key)) {
            return;
        }
        Optional<FederationRecords.KnownCell> stored = known.cell(from.name());
        boolean news = stored.filter(cell -> cell.id().equals(from)).isEmpty();
        List<JobRecord> ended = endedBelow(from.name(), hello.floor());
        if (!news && (ended.isEmpty() || cleanedLately(from.name()))) {
            return;
        }
        cleanedAt.put(from.name(), context.timeSource().now());
        Transaction transaction = self.guarded(new Transaction())
                .requireRevision(key, replica.modRevision(key))
                .write(key, FederationRecords.write(new FederationRecords.KnownCell(from, hello.floor(), false)));
        ended.forEach(job -> remove(transaction, job));
        if (news) {
            context.eventRecorder()
                    .record(
                            LOG,
                            "remote cell incarnation stored cell={} incarnation={}",
                            from.name(),
                            from.incarnation());
        }
        context.commitQueue().propose(CommitPriority.MAINTENANCE, transaction, result -> {});
    }

    private void remove(Transaction transaction, JobRecord job) {
        String key = Keys.job(job.id());
        transaction.requireRevision(key, replica.modRevision(key)).remove(key);
    }

    private boolean cleanedLately(String cell) {
        Duration last = cleanedAt.get(cell);
        return last != null && context.timeSource().now().minus(last).compareTo(EVERY) < 0;
    }

    /** Ended inbound jobs, at most as many as one transaction can remove beside writing the cell's record. */
    private List<JobRecord> endedBelow(String home, long floor) {
        int most = context.settings().state().lowest().txnOps() - 1;
        var ended = new ArrayList<JobRecord>();
        for (JobRecord job : replica.inboundJobs()) {
            boolean over = !job.isOpen() && job.spec().isEmpty();
            boolean free = !context.commitQueue().isLocked(Keys.job(job.id()));
            if (ended.size() < most && over && free && below(job, home, floor)) {
                ended.add(job);
            }
        }
        return ended;
    }
}
