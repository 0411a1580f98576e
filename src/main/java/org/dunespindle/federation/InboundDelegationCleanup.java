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
    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper identityKeeper;
    private final KnownCells knownCells;
    private final Map<String, Duration> lastCleanupAt = new HashMap<>();

    InboundDelegationCleanup(DelegationContext context, CellIdentityKeeper identityKeeper, KnownCells knownCells) {
        this.context = context;
        this.replica = context.replica();
        this.identityKeeper = identityKeeper;
        this.knownCells = knownCells;
    }

    /** Why a cell is not served because of its identity or its incarnation; empty if it is served. */
    Optional<CellReply.Reason> notServedReason(CellRequest request) {
        CellId from = request.from();
        Optional<FederationRecords.KnownCell> stored = knownCells.cell(from.name());
        boolean hello = request instanceof CellRequest.Hello;
        if (stored.isEmpty()) {
            return hello ? Optional.empty() : Optional.of(CellReply.Reason.NOT_READY);
        }
        CellId storedId = stored.get().id();
        if (stored.get().abandoned()) {
            return Optional.of(CellReply.Reason.ABANDONED);
        }
        if (!storedId.sameCell(from)) {
            return Optional.of(CellReply.Reason.WRONG_IDENTITY);
        }
        boolean older = from.incarnation() < storedId.incarnation()
                || (from.incarnation() == storedId.incarnation()
                        && !from.nonce().equals(storedId.nonce()));
        if (older && (hello || request instanceof CellRequest.Offer)) {
            return Optional.of(CellReply.Reason.STALE);
        }
        return request instanceof CellRequest.Hello greeting
                ? checkLowestOpenTransfer(greeting, stored.get())
                : Optional.empty();
    }

    private Optional<CellReply.Reason> checkLowestOpenTransfer(
            CellRequest.Hello hello, FederationRecords.KnownCell stored) {
        if (hello.lowestOpenTransfer() < stored.lowestOpenTransfer()) {
            return Optional.of(CellReply.Reason.FLOOR_WENT_BACK);
        }
        for (JobRecord job : replica.inboundJobs()) {
            if (job.isOpen() && isBelow(job, hello.from().name(), hello.lowestOpenTransfer())) {
                return Optional.of(CellReply.Reason.ENDED_JOBS_RUN);
            }
        }
        return Optional.empty();
    }

    private static boolean isBelow(JobRecord job, String origin, long lowestOpenTransfer) {
        InboundDelegation delegation = job.inboundDelegation().orElseThrow();
        return delegation.origin().equals(origin) && delegation.transfer() < lowestOpenTransfer;
    }

    /** Stores the requesting cell's identity, and removes the records of its ended transfers; called on the leader only. */
    void onHello(CellRequest.Hello hello) {
        CellId from = hello.from();
        String key = Keys.cell(from.name());
        if (context.commitQueue().isLocked(key)) {
            return;
        }
        Optional<FederationRecords.KnownCell> stored = knownCells.cell(from.name());
        boolean changed = stored.filter(cell -> cell.id().equals(from)).isEmpty();
        List<JobRecord> endedJobs = endedBelow(from.name(), hello.lowestOpenTransfer());
        if (!changed && (endedJobs.isEmpty() || cleanedRecently(from.name()))) {
            return;
        }
        lastCleanupAt.put(from.name(), context.timeSource().now());
        Transaction transaction = identityKeeper
                .guarded(new Transaction())
                .requireRevision(key, replica.modRevision(key))
                .write(
                        key,
                        FederationRecords.write(
                                new FederationRecords.KnownCell(from, hello.lowestOpenTransfer(), false)));
        endedJobs.forEach(job -> remove(transaction, job));
        if (changed) {
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

    private boolean cleanedRecently(String cell) {
        Duration last = lastCleanupAt.get(cell);
        return last != null && context.timeSource().now().minus(last).compareTo(CLEANUP_INTERVAL) < 0;
    }

    /** Ended inbound jobs, at most as many as one transaction can remove beside writing the cell's record. */
    private List<JobRecord> endedBelow(String origin, long lowestOpenTransfer) {
        int maxJobs = context.settings().state().lowest().txnOps() - 1;
        var endedJobs = new ArrayList<JobRecord>();
        for (JobRecord job : replica.inboundJobs()) {
            boolean ended = !job.isOpen() && job.spec().isEmpty();
            boolean unlocked = !context.commitQueue().isLocked(Keys.job(job.id()));
            if (endedJobs.size() < maxJobs && ended && unlocked && isBelow(job, origin, lowestOpenTransfer)) {
                endedJobs.add(job);
            }
        }
        return endedJobs;
    }
}
