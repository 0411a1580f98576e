package org.dunespindle.scheduling;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;

/**
 * Admission control for a team's quota when several controllers place the team's tasks concurrently.
 *
 * <p>The team's stored reservation holds an upper bound of the team's usage at the time it was written, and a share. Until the
 * reservation changes, each controller may add up to one share of usage; such placements have the reservation's revision as a
 * precondition but do not write it. The bound and all shares together never exceed the quota.
 *
 * <p>A controller that has used up its share writes a new reservation. Its bound is the usage that the controller knows of, plus
 * everything the other controllers may have added that it has not seen. Where that bound is too coarse for a request, the shares are
 * revoked first: from then on every placement writes the reservation, so a replica that has applied the reservation's revision shows
 * the exact usage.
 */
public final class QuotaAdmission {
    /** Stands for an unlimited quota; sums with it stay exact enough to compare. */
    private static final double UNLIMITED = 1e12;
    /** A smaller part of the quota would be used up at once, so no shares are granted and every placement writes the reservation. */
    private static final double MIN_SHARE_OF_QUOTA = 0.04;

    private QuotaAdmission() {}

    /**
     * A team's stored quota reservation.
     *
     * @param bound upper bound of the team's usage when the reservation was written
     * @param share what each controller may add without writing a new reservation
     */
    public record Reservation(Resources bound, Resources share) {
        static final Reservation NONE = new Reservation(Resources.NONE, Resources.NONE);

        private static final String BOUND_CPUS = "cpus";
        private static final String BOUND_GPUS = "gpus";
        private static final String SHARE_CPUS = "shareCpus";
        private static final String SHARE_GPUS = "shareGpus";

        /** Decodes the stored form; a team without one has nothing reserved. */
        public static Reservation fromJson(Optional<JsonNode> stored) {
            return stored.map(Reservation::decode).orElse(NONE);
        }

        private static Reservation decode(JsonNode node) {
            var bound = new Resources(
                    node.path(BOUND_CPUS).asDouble(), node.path(BOUND_GPUS).asDouble(), 0);
            var share = new Resources(
                    node.path(SHARE_CPUS).asDouble(0), node.path(SHARE_GPUS).asDouble(0), 0);
            return new Reservation(bound, share);
        }

        /** Encodes the stored form. */
        public ObjectNode toJson() {
            return MessagePackCodec.map()
                    .put(BOUND_CPUS, bound.cpus())
                    .put(BOUND_GPUS, bound.gpus())
                    .put(SHARE_CPUS, share.cpus())
                    .put(SHARE_GPUS, share.gpus());
        }

        /** Whether every placement has to write the reservation. */
        boolean hasNoShare() {
            return share.cpus() == 0 && share.gpus() == 0;
        }
    }

    /** The outcome of a request to place tasks. */
    public sealed interface Decision {
        /** Admitted with the reservation's revision as a precondition; the reservation stays as it is. */
        record Admit() implements Decision {}

        /** Admitted together with a write of this new reservation. */
        record AdmitWithReservation(Reservation reservation) implements Decision {}

        /** Not admitted yet: this reservation, which revokes the shares, has to be written first. */
        record RevokeShares(Reservation reservation) implements Decision {}

        /** Not admitted now. */
        record Defer(DeferReason reason) implements Decision {}
    }

    /** Why a request is deferred. */
    public enum DeferReason {
        /** The known usage and the request together exceed the quota. */
        LIMIT_REACHED("its limit is used up by what is stored and under way"),
        /** The replica has not applied the reservation's revision yet, so the usage it shows may be too low. */
        REPLICA_BEHIND_RESERVATION("what is known here does not reach up to its record");

        private final String text;

        DeferReason(String text) {
            this.text = text;
        }

        /** The reason as operators read it in the administration API. */
        public String text() {
            return text;
        }
    }

    /**
     * What one controller knows of a team's quota.
     *
     * @param controllers how many controllers there may be
     * @param reservationRevision the revision at which the reservation was written
     * @param appliedRevision the revision up to which this controller's replica has applied changes
     * @param mayUseShare whether this process may use its share: it was running when the reservation was written, so no earlier
     *     process of the same name used any of it
     * @param accountedUsage what this controller has added under this reservation
     * @param unacknowledged what of that may or may not have been stored
     * @param usage all stored allocations and those that this controller has proposed; never less than what was stored when the
     *     reservation was written, provided that the replica has applied that revision
     */
    public record QuotaView(
            Settings.Team team,
            int controllers,
            Reservation reservation,
            long reservationRevision,
            long appliedRevision,
            boolean mayUseShare,
            Resources accountedUsage,
            Resources unacknowledged,
            Resources usage) {
        private boolean coversReservation() {
            return appliedRevision >= reservationRevision;
        }

        private boolean shareCovers(Resources request) {
            return mayUseShare && !reservation.hasNoShare() && within(accountedUsage.plus(request), reservation.share);
        }

        /** An upper bound of the team's usage, whatever the other controllers have added unseen. */
        private Resources usageBound() {
            int unseenShares = mayUseShare ? controllers - 1 : controllers;
            return usage.plus(reservation.share.times(unseenShares)).plus(unacknowledged);
        }
    }

    /** Decides whether tasks that need so much may be placed. */
    public static Decision decide(QuotaView view, Resources request) {
        if (!view.team.withinLimit(view.usage.plus(request))) {
            return new Decision.Defer(DeferReason.LIMIT_REACHED);
        }
        if (view.shareCovers(request)) {
            return new Decision.Admit();
        }
        if (!view.coversReservation()) {
            return new Decision.Defer(DeferReason.REPLICA_BEHIND_RESERVATION);
        }
        Resources bound = view.usageBound();
        Resources newBound = bound.plus(request);
        if (view.team.withinLimit(newBound)) {
            return new Decision.AdmitWithReservation(reservationFor(view.team, newBound, view.controllers));
        }
        // The known usage leaves room, so the bound is too coarse: unseen shares or unacknowledged placements are in
        // it. A new
        // reservation voids the transactions that are still in flight, and a replica that has applied it shows those
        // that were
        // stored. Without that, a team near its quota would wait forever after a few missing answers.
        return new Decision.RevokeShares(new Reservation(bound, Resources.NONE));
    }

    /** A reservation whose shares are equal parts of what the bound leaves of the quota. */
    private static Reservation reservationFor(Settings.Team team, Resources bound, int controllers) {
        double cpus = sharePerController(team.cpusMax(), bound.cpus(), controllers);
        double gpus = sharePerController(team.gpusMax(), bound.gpus(), controllers);
        return new Reservation(bound, cpus == 0 || gpus == 0 ? Resources.NONE : new Resources(cpus, gpus, 0));
    }

    private static double sharePerController(double quota, double bound, int controllers) {
        double limit = Math.min(quota, UNLIMITED);
        double share = (limit - bound) / controllers;
        return share < limit * MIN_SHARE_OF_QUOTA ? 0 : share;
    }

    private static boolean within(Resources sum, Resources share) {
        return sum.cpus() <= share.cpus() && sum.gpus() <= share.gpus();
    }
}
