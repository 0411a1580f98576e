package org.dunespindle.federation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Abandons a remote cell on an operator's request: jobs delegated to it return to this cell, jobs accepted from it are cancelled, and
 * finally its stored record is removed, so that a later contact starts afresh. If the remote cell still runs the returned jobs, they
 * run twice; only the operator can rule that out.
 */
final class CellAbandonment {
    private static final Logger LOG = LoggerFactory.getLogger(CellAbandonment.class);
    private static final int MAX_JOBS_PER_TICK = 4;

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper identityKeeper;
    private final KnownCells knownCells;

    CellAbandonment(DelegationContext context, CellIdentityKeeper identityKeeper, KnownCells knownCells) {
        this.context = context;
        this.replica = context.replica();
        this.identityKeeper = identityKeeper;
        this.knownCells = knownCells;
    }

    /** Takes the next step for one cell; called on the leader only. */
    void tick(String cell, List<JobRecord> delegatedJobs) {
        Optional<FederationRecords.KnownCell> stored = knownCells.cell(cell);
        if (stored.filter(FederationRecords.KnownCell::abandoned).isEmpty()) {
            return;
        }
        List<JobRecord> changes = changes(cell, delegatedJobs);
        changes.stream().limit(MAX_JOBS_PER_TICK).forEach(job -> store(cell, job));
        String key = Keys.cell(cell);
        boolean finished = changes.isEmpty() && inboundJobsOf(cell).isEmpty();
        if (finished && !context.commitQueue().isLocked(key)) {
            context.eventRecorder().record(LOG, "cell abandoned, its stored record is removed cell={}", cell);
            Transaction transaction = identityKeeper
                    .guarded(new Transaction())
                    .requireRevision(key, replica.modRevision(key))
                    .remove(key);
            context.commitQueue().propose(CommitPriority.MAINTENANCE, transaction, result -> {});
        }
    }

    private List<JobRecord> changes(String cell, List<JobRecord> delegatedJobs) {
        var changes = new ArrayList<JobRecord>();
        for (JobRecord job : delegatedJobs) {
            if (job.outboundDelegation().orElseThrow().cell().equals(cell)) {
                changes.add(job.withDelegationLink(job.outboundDelegation()
                        .get()
                        .returned(context.timeSource().wallTime())));
            }
        }
        for (JobRecord job : inboundJobsOf(cell)) {
            if (job.isOpen()) {
                changes.add(job.cancelled());
            }
        }
        return changes;
    }

    private List<JobRecord> inboundJobsOf(String cell) {
        var inboundJobs = new ArrayList<JobRecord>();
        for (JobRecord job : replica.inboundJobs()) {
            boolean ended = !job.isOpen() && job.spec().isEmpty();
            if (!ended && job.inboundDelegation().orElseThrow().origin().equals(cell)) {
                inboundJobs.add(job);
            }
        }
        return inboundJobs;
    }

    private void store(String cell, JobRecord after) {
        String key = Keys.job(after.id());
        if (!context.commitQueue().isLocked(key)) {
            String cellKey = Keys.cell(cell);
            Transaction transaction = identityKeeper
                    .guarded(context.jobWriter().write(new Transaction(), after))
                    .requireRevision(cellKey, replica.modRevision(cellKey));
            context.commitQueue().propose(CommitPriority.PLACEMENT, transaction, result -> {});
        }
    }
}
