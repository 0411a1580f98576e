package org.dunespindle.scheduling;

import org.dunespindle.protocol.Resources;

/**
 * Decides, from a snapshot of the cluster, on which machines tasks are placed, which tasks are preempted and which machines are missing. A pure
 * function. The leader's snapshot contains all machines, and the leader alone plans gangs; any other controller's snapshot contains only the
 * machines that it owns.
 */
public final class Planner {
    private Planner() {}

    /** Makes a plan. */
    public static Plan plan(ClusterSnapshot snapshot) {
        return new PlanRun(snapshot).run();
    }

    /** The number of equal tasks that fit into the free capacity, up to a maximum. */
    public static int fitCount(Resources perTask, Resources free, int maximum) {
        int count = 0;
        while (count < maximum && perTask.times(count + 1).fitsIn(free)) {
            count++;
        }
        return count;
    }
}
