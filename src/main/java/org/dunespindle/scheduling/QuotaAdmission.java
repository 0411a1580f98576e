package org.dunespindle.scheduling;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;

/**
 * Keeps a team's use within its limit although several controllers place its tasks. The team's record holds an upper
 * bound of the use when it was written and a share: until the record changes, each controller may add that much,
 * guarded by the record's stamp but without writing it. Bound and all shares together never exceed the limit.
 *
 * <p>A controller that has used its share writes a new bound: the use as it sees it, plus all that the others may have
 * added unseen. Where that bound is too coarse for what is asked, the shares are closed first: from then on
 * every placement writes the record, so a view that reaches up to it shows the exact use.
 */
public final class QuotaAdmission {
    /** Stands for no limit; sums of it stay exact enough to compare. */
    private static final double NO_LIMIT = 1e12;
    /** Smaller shares would be used up at once, so the record is written with every placement instead. */
    private static final double LEAST_SHARE = 0.04;

    private QuotaAdmission() {}

    /** A team's record. */
    public record Reservation(Resources bound, Resources share) {
        static final Reservation NONE = new Reservation(Resources.NONE, Resources.NONE);

        public static Reservation parse(Optional<JsonNode> stored) {
            return stored.map(n -> new Reservation(
                            new Resources(
                                    n.path("cpus").asDouble(), n.path("gpus").asDouble(), 0),
                            new Resources(
                                    n.path("shareCpus").asDouble(0),
                                    n.path("shareGpus").asDouble(0),
                                    0)))
                    .orElse(NONE);
        }

        public ObjectNode toNode() {
            return MessagePackCodec.map()
                    .put("cpus", bound.cpus())
                    .put("gpus", bound.gpus())
                    .put("shareCpus", share.cpus())
                    .put("shareGpus", share.gpus());
        }

        boolean closed() {
            return share.cpus() == 0 && share.gpus() == 0;
        }
    }

    /** How a placement may go ahead. */
    public sealed interface Decision {
        /** Guarded by the record's stamp alone. */
        record Admit() implements Decision {}

        /** Together with this new record. */
        record AdmitWithReservation(Reservation reservation) implements Decision {}

        /** Not yet: this record, which closes the shares, is to be written first. */
        record RevokeShares(Reservation reservation) implements Decision {}

        /** Not now. */
        record Defer(WaitReason reason) implements Decision {}
    }

    /** Why nothing may be placed now. */
    public enum WaitReason {
        VIEW_BEHIND_RECORD("what is known here does not reach up to its record"),
        LIMIT_REACHED("its limit is used up");

        private final String text;

        WaitReason(String text) {
            this.text = text;
        }

        public String text() {
            return text;
        }
    }

    /**
     * What one controller sees.
     *
     * @param controllers how many controllers there may be
     * @param entitled whether this process may use its share: it was running when the record was written, so nobody of its name used any before
     * @param usedUnderReservation what it has added under this record
     * @param unacknowledged what of that may or may not have been stored
     * @param upToDate whether the view reaches up to the record
     * @param use all allocations as stored, with what this controller has proposed beside them; never less than is stored at the record
     */
    public record QuotaView(
            Settings.Team team,
            int controllers,
            Reservation reservation,
            boolean entitled,
            Resources usedUnderReservation,
            Resources unacknowledged,
            boolean upToDate,
            Resources use) {}

    public static Decision decide(QuotaView v, Resources need) {
        if (v.entitled && !v.reservation.closed() && within(v.usedUnderReservation.plus(need), v.reservation.share)) {
            return new Decision.Admit();
        }
        if (!v.upToDate) {
            return new Decision.Defer(WaitReason.VIEW_BEHIND_RECORD);
        }
        Resources bound = v.use.plus(v.reservation.share.times(v.entitled ? v.controllers - 1 : v.controllers))
                .plus(v.unacknowledged);
        if (v.team.withinLimit(bound.plus(need))) {
            return new Decision.AdmitWithReservation(open(v.team, bound.plus(need), v.controllers));
        }
        // What may or may not have been stored counts until it cannot be any more: a new record voids what is still
        // under way, and
        // shows what was stored. Without that a team near its limit would wait for ever after a few answers that stayed
        // out.
        boolean unsure = v.unacknowledged.cpus() > 0 || v.unacknowledged.gpus() > 0;
        return v.reservation.closed() && !unsure
                ? new Decision.Defer(WaitReason.LIMIT_REACHED)
                : new Decision.RevokeShares(new Reservation(bound, Resources.NONE));
    }

    private static Reservation open(Settings.Team team, Resources bound, int names) {
        double cpus = share(team.cpusMax(), bound.cpus(), names);
        double gpus = share(team.gpusMax(), bound.gpus(), names);
        return new Reservation(bound, cpus == 0 || gpus == 0 ? Resources.NONE : new Resources(cpus, gpus, 0));
    }

    private static double share(double most, double used, int names) {
        double limit = Math.min(most, NO_LIMIT);
        double part = (limit - used) / names;
        return part < limit * LEAST_SHARE ? 0 : part;
    }

    private static boolean within(Resources sum, Resources share) {
        return sum.cpus() <= share.cpus() && sum.gpus() <= share.gpus();
    }
}
