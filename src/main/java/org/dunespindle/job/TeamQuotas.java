package org.dunespindle.job;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.QuotaAdmission;
import org.dunespindle.scheduling.TeamUsage;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's account with each team's record: what it has placed under the record as it stands, and what of that is not certain. Every
 * change of a record is told with what it rests on; there are no more of them than the state service takes writes.
 */
public final class TeamQuotas {
    private static final Logger LOG = LoggerFactory.getLogger(TeamQuotas.class);
    private final Settings settings;
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Counts> counts = new HashMap<>();

    /** What was placed under a team's record as it stands. */
    private static final class Account {
        final long stamp;
        Resources spent = Resources.NONE;
        Resources unsure = Resources.NONE;

        Account(long stamp) {
            this.stamp = stamp;
        }
    }

    /** What became of the placements that were asked for. */
    private static final class Counts {
        long withinShare;
        long withNewRecord;
        long refused;
        long unanswered;
        long waited;
        long closed;
        String lastWait = "";
    }

    /** Leave to place tasks in a transaction that was guarded for it. */
    final class Grant {
        private final Basis basis;
        private final Account account;
        private final Optional<QuotaAdmission.Reservation> written;

        private Grant(Basis basis, Account account, Optional<QuotaAdmission.Reservation> written) {
            this.basis = basis;
            this.account = account;
            this.written = written;
        }

        /** The transaction is proposed. */
        void proposed() {
            account.spent = account.spent.plus(basis.need);
        }

        /** What became of the transaction. */
        void settled(TransactionResult result) {
            Counts counted = countsOf(basis.team.name());
            if (result instanceof TransactionResult.Applied) {
                counted.withinShare += written.isPresent() ? 0 : 1;
                counted.withNewRecord += written.isPresent() ? 1 : 0;
                written.ifPresent(entry -> LOG.info("{}; its record is now {}", basis, basis.describe(entry)));
            } else if (result instanceof TransactionResult.Unknown) {
                account.unsure = account.unsure.plus(basis.need);
                counted.unanswered++;
                LOG.info("{}; not answered, so it counts until the record changes", basis);
            } else {
                account.spent = account.spent.minus(basis.need);
                counted.refused++;
                LOG.info("{}; refused: {}", basis, result);
            }
        }
    }

    /** What a decision about a team's limit rested on. */
    private record Basis(
            Settings.Team team, String job, Resources need, long stamp, long syncedTo, QuotaAdmission.QuotaView view) {
        String describe(QuotaAdmission.Reservation entry) {
            return "bound " + amount(entry.bound()) + ", share " + amount(entry.share());
        }

        /** An amount of what the team's limit is about. */
        private String amount(Resources resources) {
            boolean gpus = Double.isFinite(team.gpusMax());
            boolean cpus = Double.isFinite(team.cpusMax());
            String ofGpus = "%.2f GPUs".formatted(resources.gpus());
            String ofCpus = "%.2f CPUs".formatted(resources.cpus());
            return gpus && cpus ? ofGpus + " and " + ofCpus : cpus ? ofCpus : ofGpus;
        }

        @Override
        public String toString() {
            return "team " + team.name() + ": " + amount(need) + " for " + job + " under its record of revision "
                    + stamp
                    + " (" + describe(view.reservation()) + "); counted " + amount(view.use()) + " up to revision "
                    + syncedTo
                    + ", placed under the record " + amount(view.usedUnderReservation()) + ", unsure "
                    + amount(view.unacknowledged())
                    + (view.entitled() ? "" : ", no share of its own");
        }
    }

    TeamQuotas(ControllerContext context, CommitQueue commitQueue) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.commitQueue = commitQueue;
    }

    /** Adds to a transaction what the team's record asks for; empty if nothing may be placed now. */
    Optional<Grant> ask(Transaction transaction, JobRecord job, TeamUsage use, Resources need) {
        String name = job.submission().team();
        String key = Keys.team(name);
        Settings.Team team = settings.teams().get(name);
        Account account = account(name);
        var view = new QuotaAdmission.QuotaView(
                team,
                settings.seeds().size() + 1,
                QuotaAdmission.Reservation.parse(replica.value(key)),
                entitled(account),
                account.spent,
                account.unsure,
                replica.appliedRevision() >= account.stamp,
                use.of(name));
        var basis = new Basis(team, job.id(), need, account.stamp, replica.appliedRevision(), view);
        if (!team.withinLimit(view.use().plus(need))) {
            return waits(name, "its limit is used up by what is stored and under way");
        }
        QuotaAdmission.Decision way = QuotaAdmission.decide(view, need);
        if (way instanceof QuotaAdmission.Decision.RevokeShares close) {
            close(basis, key, close.reservation());
            return waits(name, "its shares are being closed");
        }
        if (way instanceof QuotaAdmission.Decision.Defer wait) {
            return waits(name, wait.reason().text());
        }
        transaction.requireRevision(key, account.stamp);
        if (way instanceof QuotaAdmission.Decision.AdmitWithReservation write) {
            transaction.write(key, write.reservation().toNode());
            return Optional.of(new Grant(basis, account, Optional.of(write.reservation())));
        }
        return Optional.of(new Grant(basis, account, Optional.empty()));
    }

    private Account account(String team) {
        long stamp = replica.modRevision(Keys.team(team));
        return accounts.compute(team, (t, old) -> old != null && old.stamp == stamp ? old : new Account(stamp));
    }

    /** A process that started after the record was written can't know what an earlier one of its name placed under it. */
    private boolean entitled(Account account) {
        return account.stamp > replica.modRevision(Keys.INCARNATION + settings.nodeName());
    }

    private void close(Basis basis, String key, QuotaAdmission.Reservation entry) {
        var closing = new Transaction().requireRevision(key, basis.stamp).write(key, entry.toNode());
        commitQueue.propose(CommitPriority.PLACEMENT, closing, result -> {
            if (result instanceof TransactionResult.Applied) {
                countsOf(basis.team.name()).closed++;
                LOG.info("{}; closes the shares: {}", basis, basis.describe(entry));
            }
        });
    }

    private Optional<Grant> waits(String team, String why) {
        Counts counted = countsOf(team);
        counted.waited++;
        if (!why.equals(counted.lastWait)) {
            counted.lastWait = why;
            LOG.debug("team {}: nothing more is placed for now: {}", team, why);
        }
        return Optional.empty();
    }

    private Counts countsOf(String team) {
        return counts.computeIfAbsent(team, t -> new Counts());
    }

    /** Shows a team's record, and this controller's account with it. */
    public void show(String team, ObjectNode into) {
        QuotaAdmission.Reservation entry = QuotaAdmission.Reservation.parse(replica.value(Keys.team(team)));
        Account account = account(team);
        Counts counted = countsOf(team);
        into.put("recordRevision", account.stamp)
                .put("syncedToRevision", replica.appliedRevision())
                .put("entitled", entitled(account));
        show(into.putObject("bound"), entry.bound());
        show(into.putObject("share"), entry.share());
        show(into.putObject("placedUnderRecord"), account.spent);
        show(into.putObject("unsure"), account.unsure);
        into.put("placedWithinShare", counted.withinShare)
                .put("placedWithNewRecord", counted.withNewRecord)
                .put("refused", counted.refused)
                .put("unanswered", counted.unanswered)
                .put("sharesClosed", counted.closed)
                .put("waited", counted.waited)
                .put("lastWait", counted.lastWait);
    }

    private static void show(ObjectNode into, Resources amount) {
        into.put("gpus", amount.gpus()).put("cpus", amount.cpus());
    }
}
