package org.dunespindle.scheduling;

import org.dunespindle.protocol.Resources;

/**
 * Decides, from a snapshot of the cluster, which task goes to which machine, which tasks are preempted and which machines are missing. A pure
 * function. The leader's snapshot holds all machines and gangs; any other controller's holds only the machines that it owns, and no gangs.
 */
public final class Planner {
    private Planner() {}

    /** Makes a plan. */
    public static Plan plan(ClusterSnapshot snapshot) {
        return new PlanRun(snapshot).run();
    }

    /** How many tasks of the same size, up to a maximum, fit into some free capacity. */
    public static int fitCount(Resources perTask, Resources free, int maximum) {
        int count = 0;
        while (count < maximum && perTask.times(count + 1).fitsIn(free)) {
            count++;
        }
        return count;
    }
}
