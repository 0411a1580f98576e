package org.dunespindle.job;

import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.QuotaAdmission;

/**
 * A request for quota with everything that the decision about it rests on.
 *
 * @param job the id of the job whose tasks are to be placed
 * @param amount what the tasks need
 * @param view what this controller knew of the team's quota
 */
record QuotaRequest(String job, Resources amount, QuotaAdmission.QuotaView view) {
    /** The team's name. */
    String team() {
        return view.team().name();
    }

    /** A new reservation as key-value pairs of a log line. */
    String describeNew(QuotaAdmission.Reservation reservation) {
        return "newBound=" + format(reservation.bound()) + " newShare=" + format(reservation.share());
    }

    /** An amount of those resources that the team's quota limits. */
    private String format(Resources resources) {
        Settings.Team team = view.team();
        boolean limitsGpus = Double.isFinite(team.gpusMax());
        boolean limitsCpus = Double.isFinite(team.cpusMax());
        String gpus = "%.2fgpus".formatted(resources.gpus());
        String cpus = "%.2fcpus".formatted(resources.cpus());
        if (limitsGpus && limitsCpus) {
            return gpus + "+" + cpus;
        }
        return limitsCpus ? cpus : gpus;
    }

    /** The request as key-value pairs of a log line. */
    @Override
    public String toString() {
        return "team=" + team()
                + " job=" + job
                + " amount=" + format(amount)
                + " reservationRevision=" + view.reservationRevision()
                + " bound=" + format(view.reservation().bound())
                + " share=" + format(view.reservation().share())
                + " usage=" + format(view.usage())
                + " appliedRevision=" + view.appliedRevision()
                + " accountedUsage=" + format(view.accountedUsage())
                + " unacknowledged=" + format(view.unacknowledged())
                + " mayUseShare=" + view.mayUseShare();
    }
}
