package org.dunespindle.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.bookkeeping.Claim;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.bookkeeping.Keys;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.bookkeeping.Txn;
import org.dunespindle.bookkeeping.TxnResult;
import org.dunespindle.protocol.PieceId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores what became of claims, guarded by the ownership under which it was seen. Tasks of a job that ended well are
 * gathered for a moment, since each write of a record costs the same however many of them it tells; what
 * ends a job, or sends tasks back to the queue, is stored at once.
 */
final class Outcomes {
    private static final Logger LOG = LoggerFactory.getLogger(Outcomes.class);
    private static final Duration GATHER = Duration.ofMillis(1500);
    private static final Duration GATHER_PER_WAITING = Duration.ofMillis(50);
    private static final Duration GATHER_AT_MOST = Duration.ofSeconds(6);
    private static final int OTHER_GUARDS = 4;
    private final Replica replica;
    private final Committer committer;
    private final HostDesk hostDesk;
    private final Sessions sessions;
    private final Timeline timeline;
    private final Decisions decisions;
    private final int mostHosts;

    private record Seen(Reconciler.Event event, Duration since) {}

    Outcomes(Replica replica, Committer committer, HostDesk hostDesk, Sessions sessions, Timeline timeline, Decisions decisions, int txnOps) {
        this.replica = replica;
        this.committer = committer;
        this.hostDesk = hostDesk;
        this.sessions = sessions;
        this.timeline = timeline;
        this.decisions = decisions;
        this.mostHosts = Math.max(1, Txn.mostGuards(txnOps) - OTHER_GUARDS);
    }

    /** Tasks whose end is reported but not stored: their room is free already. */
    Set<PieceId> ended() {
        var set = new HashSet<PieceId>();
        for (String host : hostDesk.withEvents()) {
            sessions.of(host).events.forEach(e -> set.add(new PieceId(e.job(), e.task())));
        }
        return set;
    }

    /** Proposes what is due, along with claims on machines that are proven gone. */
    void store(List<Reconciler.Event> gone) {
        var byJob = new LinkedHashMap<String, List<Seen>>();
        for (String host : hostDesk.withEvents()) {
            Sessions.Session s = sessions.of(host);
            s.events.forEach(e -> byJob.computeIfAbsent(e.job(), k -> new ArrayList<>()).add(new Seen(e, s.eventsSince)));
        }
        gone.forEach(e -> byJob.computeIfAbsent(e.job(), k -> new ArrayList<>()).add(new Seen(e, Duration.ZERO)));
        byJob.forEach((id, seen) -> replica.job(id).filter(j -> !committer.isLocked(Keys.job(id)) && due(j, seen)).ifPresent(j -> store(j, seen)));
    }

    private boolean due(JobRecord j, List<Seen> seen) {
        boolean gang = j.spec().isPresent() && j.job().gang();
        boolean last = j.unplacedCount() == 0 && j.claims().size() <= seen.size();
        Duration gather = GATHER.plus(GATHER_PER_WAITING.multipliedBy(committer.waiting()));
        Duration patience = gather.compareTo(GATHER_AT_MOST) > 0 ? GATHER_AT_MOST : gather;
        return gang || last || seen.stream().anyMatch(s -> s.event.fate() != Reconciler.Fate.DONE || timeline.now().minus(s.since).compareTo(patience) >= 0);
    }

    /** As many outcomes as one transaction's guards allow; the others follow once it is stored. */
    private void store(JobRecord j, List<Seen> seen) {
        var txn = new Txn();
        var pages = new HashSet<String>();
        var events = new ArrayList<Reconciler.Event>();
        for (Seen s : seen) {
            Optional<Claim> claim = j.claim(s.event.task());
            if (claim.isEmpty()) {
                continue;
            }
            String page = Keys.host(claim.get().host());
            if (pages.contains(page) || pages.size() < mostHosts) {
                pages.add(page);
                txn.guard(page, replica.stamp(page));
                events.add(s.event);
            }
        }
        JobRecord after = JobChanges.apply(j, events, timeline.wallTime());
        if (after == j) {
            return;
        }
        String key = Keys.job(j.id());
        boolean hurry = !after.open() || after.job().gang() || after.unplacedCount() > j.unplacedCount();
        committer.propose(hurry ? Committer.Lane.PLACING : Committer.Lane.KEEPING, txn.guard(key, replica.stamp(key)).write(key, after.toNode()), r -> {
            if (r instanceof TxnResult.Applied) {
                events.forEach(e -> tell(j, e));
            }
        });
    }

    private void tell(JobRecord job, Reconciler.Event e) {
        String host = job.claim(e.task()).map(Claim::host).orElse("?");
        Sessions.Session s = sessions.of(host);
        if (e.fate() == Reconciler.Fate.ERROR) {
            decisions.tell(LOG, "task {}/{} failed on machine {}; it is started again elsewhere or later", job.id(), e.task(), host);
            s.errorsInARow = s.lastErrorJob.equals(job.id()) && s.errorsInARow > 0 ? s.errorsInARow : s.errorsInARow + 1;
            s.lastErrorJob = job.id();
        } else if (e.fate() == Reconciler.Fate.DONE) {
            s.errorsInARow = 0;
            s.lastErrorJob = "";
        } else if (job.open()) {
            decisions.tell(LOG, "task {}/{} left machine {}: {}", job.id(), e.task(), host, e.why());
        }
    }
}
