package org.dunespindle.federation;

import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;

/**
 * The capacity for work of one priority on the machines of one type, zone and market. It is only a hint: the capacity may be
 * allocated before an offered job arrives.
 *
 * @param free the free or preemptible resources of all such machines together
 * @param largest the free or preemptible resources of the machine that has most, or the size of a machine that can be rented
 * @param rentable whether more such machines can be rented, as far as the cell knows
 */
public record CapacityHint(
        String type,
        String zone,
        boolean spot,
        Priority priority,
        Resources free,
        Resources largest,
        boolean rentable) {

    /** Whether the hint covers machines that a job may use, at the job's priority. */
    public boolean appliesTo(Submission job) {
        boolean typeAllowed = job.types().map(list -> list.contains(type)).orElse(true);
        boolean zoneAllowed = job.zone().map(zone::equals).orElse(true);
        return typeAllowed && zoneAllowed && (job.spot() || !spot) && priority == job.priority();
    }

    /** An estimate of how many tasks of a job's size fit, regardless of the job's own number of tasks. */
    public int taskCapacity(Submission job) {
        if (!job.perTask().fitsIn(largest)) {
            return 0;
        }
        if (rentable) {
            return Submission.MAX_TASKS;
        }
        double fitting = Math.min(
                ratio(free.cpus(), job.perTask().cpus()),
                Math.min(
                        ratio(free.gpus(), job.perTask().gpus()),
                        ratio(free.ramGb(), job.perTask().ramGb())));
        return (int) Math.min(Submission.MAX_TASKS, Math.floor(fitting));
    }

    private static double ratio(double free, double perTask) {
        return perTask <= 0 ? Submission.MAX_TASKS : free / perTask + 1e-9;
    }
}
