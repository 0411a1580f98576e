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
 * Requests quota before tasks are placed, and accounts for the tasks that this controller has placed under each team's stored reservation,
 * including placements with an unknown outcome. Each change of a reservation is logged with the inputs of the decision; the rate of these log
 * lines is bounded by the write rate of the state store.
 */
public final class TeamQuotas {
    private static final Logger LOG = LoggerFactory.getLogger(TeamQuotas.class);
    private static final String DEFERRED_UNTIL_REVOKED = "its quota shares are being revoked";
    private final Settings settings;
    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final Map<String, AccountedUsage> accounts = new HashMap<>();
    private final Map<String, AdmissionCounters> counters = new HashMap<>();

    /** The resources that this controller has placed under one revision of a team's reservation. */
    private static final class AccountedUsage {
        private final long reservationRevision;
        private Resources placed = Resources.NONE;
        private Resources unacknowledged = Resources.NONE;

        AccountedUsage(long reservationRevision) {
            this.reservationRevision = reservationRevision;
        }

        void onProposed(Resources request) {
            placed = placed.plus(request);
        }

        void onUnacknowledged(Resources request) {
            unacknowledged = unacknowledged.plus(request);
        }

        void onRejected(Resources request) {
            placed = placed.minus(request);
        }
    }

    /** Permission to place tasks with a transaction that has the reservation's revision as a precondition. */
    final class Admission {
        private final QuotaRequest request;
        private final AccountedUsage account;
        private final Optional<QuotaAdmission.Reservation> newReservation;

        private Admission(
                QuotaRequest request, AccountedUsage account, Optional<QuotaAdmission.Reservation> newReservation) {
            this.request = request;
            this.account = account;
            this.newReservation = newReservation;
        }

        /** Accounts for the transaction. Must be called when it is proposed. */
        void onProposed() {
            account.onProposed(request.amount());
        }

        /** Settles the account with the transaction's result. */
        void onResult(TransactionResult result) {
            AdmissionCounters counted = countersOf(request.team());
            if (result instanceof TransactionResult.Applied) {
                counted.onApplied(newReservation.isPresent());
                newReservation.ifPresent(
                        written -> LOG.info("quota reservation written {} {}", request, request.describeNew(written)));
            } else if (result instanceof TransactionResult.Unknown) {
                account.onUnacknowledged(request.amount());
                counted.onUnacknowledged();
                LOG.info("quota request unacknowledged, accounted for until the reservation changes {}", request);
            } else {
                account.onRejected(request.amount());
                counted.onRejected();
                LOG.info("quota request rejected {} result={}", request, result);
            }
        }
    }

    TeamQuotas(ControllerContext context, CommitQueue commitQueue) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.commitQueue = commitQueue;
    }

    /**
     * Requests quota for tasks of a job, and adds the necessary preconditions and writes to the transaction. Empty if the tasks may not be placed
     * now.
     *
     * @param usage the usage of all teams, both stored and proposed by this controller
     */
    Optional<Admission> requestAdmission(Transaction transaction, JobRecord job, TeamUsage usage, Resources requested) {
        String team = job.submission().team();
        String key = Keys.team(team);
        AccountedUsage account = account(team);
        var request = new QuotaRequest(job.id(), requested, view(team, account, usage));
        QuotaAdmission.Decision decision = QuotaAdmission.decide(request.view(), requested);
        if (decision instanceof QuotaAdmission.Decision.RevokeShares revocation) {
            revokeShares(request, revocation.reservation());
            return defer(team, DEFERRED_UNTIL_REVOKED);
        }
        if (decision instanceof QuotaAdmission.Decision.Defer deferral) {
            return defer(team, deferral.reason().text());
        }
        transaction.requireRevision(key, account.reservationRevision);
        Optional<QuotaAdmission.Reservation> newReservation = Optional.empty();
        if (decision instanceof QuotaAdmission.Decision.AdmitWithReservation admission) {
            transaction.write(key, admission.reservation().toJson());
            newReservation = Optional.of(admission.reservation());
        }
        return Optional.of(new Admission(request, account, newReservation));
    }

    private QuotaAdmission.QuotaView view(String team, AccountedUsage account, TeamUsage usage) {
        return new QuotaAdmission.QuotaView(
                settings.teams().get(team),
                settings.seeds().size() + 1,
                reservation(team),
                account.reservationRevision,
                replica.appliedRevision(),
                mayUseShare(account),
                account.placed,
                account.unacknowledged,
                usage.of(team));
    }

    private QuotaAdmission.Reservation reservation(String team) {
        return QuotaAdmission.Reservation.fromJson(replica.value(Keys.team(team)));
    }

    private AccountedUsage account(String team) {
        long revision = replica.modRevision(Keys.team(team));
        return accounts.compute(
                team,
                (name, known) ->
                        known != null && known.reservationRevision == revision ? known : new AccountedUsage(revision));
    }

    /** A process that started after the reservation was written has no record of what an earlier process with its node name placed under it. */
    private boolean mayUseShare(AccountedUsage account) {
        return account.reservationRevision > replica.modRevision(Keys.INCARNATION + settings.nodeName());
    }

    private void revokeShares(QuotaRequest request, QuotaAdmission.Reservation withoutShares) {
        String key = Keys.team(request.team());
        var revocation = new Transaction()
                .requireRevision(key, request.view().reservationRevision())
                .write(key, withoutShares.toJson());
        commitQueue.propose(CommitPriority.PLACEMENT, revocation, result -> {
            if (result instanceof TransactionResult.Applied) {
                countersOf(request.team()).onSharesRevoked();
                LOG.info("quota shares revoked {} {}", request, request.describeNew(withoutShares));
            }
        });
    }

    private Optional<Admission> defer(String team, String reason) {
        if (countersOf(team).onDeferred(reason)) {
            LOG.debug("quota request deferred team={} reason=\"{}\"", team, reason);
        }
        return Optional.empty();
    }

    private AdmissionCounters countersOf(String team) {
        return counters.computeIfAbsent(team, name -> new AdmissionCounters());
    }

    /** Writes a team's reservation and this controller's accounting into an answer of the administration API. */
    public void writeStatus(String team, ObjectNode into) {
        QuotaAdmission.Reservation reservation = reservation(team);
        AccountedUsage account = account(team);
        into.put("recordRevision", account.reservationRevision)
                .put("syncedToRevision", replica.appliedRevision())
                .put("entitled", mayUseShare(account));
        writeAmount(into.putObject("bound"), reservation.bound());
        writeAmount(into.putObject("share"), reservation.share());
        writeAmount(into.putObject("placedUnderRecord"), account.placed);
        writeAmount(into.putObject("unsure"), account.unacknowledged);
        countersOf(team).writeTo(into);
    }

    private static void writeAmount(ObjectNode into, Resources amount) {
        into.put("gpus", amount.gpus()).put("cpus", amount.cpus());
    }
}
