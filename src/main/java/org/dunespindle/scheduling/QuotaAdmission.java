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
 * <p>A controller that has used up its share writes a new reservation. Its bound is the usage known to the controller, plus
 * everything that the other controllers may have added unseen. If that bound is too coarse for a request, the shares are
 * revoked first: from then on every placement writes the reservation, so a replica that has applied the reservation's revision shows
 * the exact usage.
 */
public final class QuotaAdmission {
    /** Finite substitute for an unlimited quota; sums with it stay exact enough to compare. */
    private static final double UNLIMITED = 1e12;
    /**
     * The smallest share that is granted, as a fraction of the quota. A smaller one would be used up immediately, so no shares are granted
     * then and every placement writes the reservation.
     */
    private static final double MIN_SHARE_FRACTION = 0.04;

    private QuotaAdmission() {}

    /**
     * A team's stored quota reservation.
     *
     * @param bound upper bound of the team's usage when the reservation was written
     * @param share the usage that each controller may add without writing a new reservation
     */
    public record Reservation(Resources bound, Resources share) {
        static final Reservation NONE = new Reservation(Resources.NONE, Resources.NONE);

        private static final String BOUND_CPUS = "cpus";
        private static final String BOUND_GPUS = "gpus";
        private static final String SHARE_CPUS = "shareCpus";
        private static final String SHARE_GPUS = "shareGpus";

        /** Decodes the stored form; without one, nothing is reserved. */
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

        /** Not admitted yet: this reservation, which revokes the shares, must be written first. */
        record RevokeShares(Reservation reservation) implements Decision {}

        /** Not admitted now; the request may be repeated later. */
        record Defer(DeferReason reason) implements Decision {}
    }

    /** Why a request is deferred. */
    public enum DeferReason {
        /** The usage known to the controller and the request together exceed the quota. */
        LIMIT_REACHED("its limit is used up by stored and proposed placements"),
        /** The replica has not applied the reservation's revision yet, so the usage it shows may be too low. */
        REPLICA_BEHIND_RESERVATION("this controller's replica has not applied the team's reservation yet");

        private final String text;

        DeferReason(String text) {
            this.text = text;
        }

        /** The reason as shown to operators by the administration API. */
        public String text() {
            return text;
        }
    }

    /**
     * The state of a team's quota as seen by one controller.
     *
     * @param controllers the maximum number of controllers in the cell
     * @param reservationRevision the revision at which the reservation was written
     * @param appliedRevision the revision up to which this controller's replica has applied changes
     * @param mayUseShare whether this process may use its share: it was running when the reservation was written, so no earlier
     *     process with the same node name can have used any of it
     * @param accountedUsage the usage that this controller has added under this reservation
     * @param unacknowledged the part of that usage whose transactions were not acknowledged, so that it may or may not be stored
     * @param usage all stored allocations and those that this controller has proposed; never less than the usage stored when the
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
        private boolean hasAppliedReservation() {
            return appliedRevision >= reservationRevision;
        }

        private boolean shareCovers(Resources request) {
            return mayUseShare && !reservation.hasNoShare() && within(accountedUsage.plus(request), reservation.share);
        }

        /** An upper bound of the team's usage, including all that other controllers may have added unseen. */
        private Resources usageBound() {
            int unseenShares = mayUseShare ? controllers - 1 : controllers;
            return usage.plus(reservation.share.times(unseenShares)).plus(unacknowledged);
        }
    }

    /** Decides whether tasks that need the requested resources may be placed. */
    public static Decision decide(QuotaView view, Resources request) {
        if (!view.team.withinLimit(view.usage.plus(request))) {
            return new Decision.Defer(DeferReason.LIMIT_REACHED);
        }
        if (view.shareCovers(request)) {
            return new Decision.Admit();
        }
        if (!view.hasAppliedReservation()) {
            return new Decision.Defer(DeferReason.REPLICA_BEHIND_RESERVATION);
        }
        Resources bound = view.usageBound();
        Resources newBound = bound.plus(request);
        if (view.team.withinLimit(newBound)) {
            return new Decision.AdmitWithReservation(reservationFor(view.team, newBound, view.controllers));
        }
        // The known usage is within the limit, so the bound is too coarse: it includes unseen shares or
        // unacknowledged placements. A new reservation fails the preconditions of transactions in flight, and a
        // replica that has applied it shows all those that were stored. Without this, a team near its quota would
        // wait forever after a few missing answers.
        return new Decision.RevokeShares(new Reservation(bound, Resources.NONE));
    }

    /** A reservation that divides the quota remaining above the bound into equal shares. */
    private static Reservation reservationFor(Settings.Team team, Resources bound, int controllers) {
        double cpus = sharePerController(team.cpusMax(), bound.cpus(), controllers);
        double gpus = sharePerController(team.gpusMax(), bound.gpus(), controllers);
        return new Reservation(bound, cpus == 0 || gpus == 0 ? Resources.NONE : new Resources(cpus, gpus, 0));
    }

    private static double sharePerController(double quota, double bound, int controllers) {
        double limit = Math.min(quota, UNLIMITED);
        double share = (limit - bound) / controllers;
        return share < limit * MIN_SHARE_FRACTION ? 0 : share;
    }

    private static boolean within(Resources sum, Resources share) {
        return sum.cpus() <= share.cpus() && sum.gpus() <= share.gpus();
    }
}
