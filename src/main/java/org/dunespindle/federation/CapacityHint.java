package org.dunespindle.federation;

import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;

/**
 * Room for work of a priority on machines of one kind. A hint: by the time that a job arrives it may be gone.
 *
 * @param free what is free, or held by work that would give way, on all such machines together
 * @param largest the same on the machine that has most, or the size of one that may be rented
 * @param rentable whether more such machines may be had, as far as the cell knows
 */
public record CapacityHint(
        String type,
        String zone,
        boolean spot,
        Priority priority,
        Resources free,
        Resources largest,
        boolean rentable) {

    /** Whether the hint is about machines that a job may use, and about its priority. */
    public boolean concerns(Submission job) {
        boolean type = job.types().map(list -> list.contains(this.type)).orElse(true);
        boolean zone = job.zone().map(this.zone::equals).orElse(true);
        return type && zone && (job.spot() || !spot) && priority == job.priority();
    }

    /** About how many tasks like those of a job find room, however many it has. */
    public int tasks(Submission job) {
        if (!job.perTask().fitsIn(largest)) {
            return 0;
        }
        if (rentable) {
            return Submission.MAX_TASKS;
        }
        double most = Math.min(
                ratio(free.cpus(), job.perTask().cpus()),
                Math.min(
                        ratio(free.gpus(), job.perTask().gpus()),
                        ratio(free.ramGb(), job.perTask().ramGb())));
        return (int) Math.min(Submission.MAX_TASKS, Math.floor(most));
    }

    private static double ratio(double free, double one) {
        return one <= 0 ? Submission.MAX_TASKS : free / one + 1e-9;
    }
}
