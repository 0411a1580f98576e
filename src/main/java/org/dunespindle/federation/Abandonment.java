package org.dunespindle.federation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.api.ExchangeContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.Replica;
import org.dunespindle.storage.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives a cell up by an operator's word: jobs given to it come home, its own jobs here are cancelled, and what is stored of it is
 * dropped at last, so that it may be met anew. If the cell still runs those jobs, they run twice: nobody but the operator can know.
 */
final class Abandonment {
    private static final Logger LOG = LoggerFactory.getLogger(Abandonment.class);
    private static final int MOST_AT_ONCE = 4;

    private final ExchangeContext context;
    private final Replica replica;
    private final OwnCellKeeper self;
    private final KnownCells known;

    Abandonment(ExchangeContext context, OwnCellKeeper self, KnownCells known) {
        this.context = context;
        this.replica = context.replica();
        this.self = self;
        this.known = known;
    }

    /** The leader's part, for one cell. */
    void tick(String cell, List<JobRecord> away) {
        Optional<FederationRecords.KnownCell> stored = known.cell(cell);
        if (stored.filter(FederationRecords.KnownCell::abandoned).isEmpty()) {
            return;
        }
        List<JobRecord> changes = changes(cell, away);
        changes.stream().limit(MOST_AT_ONCE).forEach(job -> store(cell, job));
        String key = Keys.cell(cell);
        boolean over = changes.isEmpty() && visitorsOf(cell).isEmpty();
        if (over && !context.committer().isLocked(key)) {
            context.decisions().tell(LOG, "cell {} is abandoned and forgotten", cell);
            Txn txn = self.guarded(new Txn()).guard(key, replica.stamp(key)).remove(key);
            context.committer().propose(CommitPriority.MAINTENANCE, txn, result -> {});
        }
    }

    private List<JobRecord> changes(String cell, List<JobRecord> away) {
        var changes = new ArrayList<JobRecord>();
        for (JobRecord job : away) {
            if (job.delegation().orElseThrow().cell().equals(cell)) {
                changes.add(job.tied(
                        job.delegation().get().returned(context.timeline().wallTime())));
            }
        }
        for (JobRecord job : visitorsOf(cell)) {
            if (job.open()) {
                changes.add(job.cancelled());
            }
        }
        return changes;
    }

    private List<JobRecord> visitorsOf(String cell) {
        var visitors = new ArrayList<JobRecord>();
        for (JobRecord job : replica.visitors()) {
            boolean ended = !job.open() && job.spec().isEmpty();
            if (!ended && job.visit().orElseThrow().home().equals(cell)) {
                visitors.add(job);
            }
        }
        return visitors;
    }

    private void store(String cell, JobRecord after) {
        String key = Keys.job(after.id());
        if (!context.committer().isLocked(key)) {
            String cellKey = Keys.cell(cell);
            Txn txn = self.guarded(context.jobWriter().write(new Txn(), after)).guard(cellKey, replica.stamp(cellKey));
            context.committer().propose(CommitPriority.PLACING, txn, result -> {});
        }
    }
}
