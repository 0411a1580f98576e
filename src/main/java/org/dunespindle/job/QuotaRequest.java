package org.dunespindle.job;

import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.QuotaAdmission;

/**
 * A request for quota together with the state on which the decision is based.
 *
 * @param job the id of the job whose tasks are to be placed
 * @param amount the resources of these tasks
 * @param view the state of the team's quota as seen by this controller
 */
record QuotaRequest(String job, Resources amount, QuotaAdmission.QuotaView view) {
    String team() {
        return view.team().name();
    }

    /** Formats a new reservation as key-value pairs for a log line. */
    String describeNew(QuotaAdmission.Reservation reservation) {
        return "newBound=" + format(reservation.bound()) + " newShare=" + format(reservation.share());
    }

    /** Formats the resources that the team's quota limits. */
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

    /** Formats the request as key-value pairs for a log line. */
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
