package org.dunespindle.machine;

import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.Planner;

/** The number of machines to rent from one pool, determined by bin packing of the tasks that need them. */
final class PoolDemand {
    private final Resources machineSize;
    private int machines;
    private boolean forGang;
    /** Free capacity of the machine that was added last. */
    private Resources freeOnLastMachine = Resources.NONE;

    PoolDemand(Resources machineSize) {
        this.machineSize = machineSize;
    }

    /** Packs tasks of a job onto the last machine as far as they fit, and the rest onto additional machines. */
    void add(Submission job, int tasks, int tasksPerMachine) {
        forGang |= machines == 0 && job.isGang() && job.tasks() > 1;
        int fitting = Planner.fitCount(job.perTask(), freeOnLastMachine, tasks);
        freeOnLastMachine = freeOnLastMachine.minus(job.perTask().times(fitting));
        int remaining = tasks - fitting;
        if (remaining > 0) {
            int additional = (remaining + tasksPerMachine - 1) / tasksPerMachine;
            machines += additional;
            int tasksOnLastMachine = remaining - (additional - 1) * tasksPerMachine;
            freeOnLastMachine = machineSize.minus(job.perTask().times(tasksOnLastMachine));
        }
    }

    /** The number of machines needed for all added tasks. */
    int machines() {
        return machines;
    }

    /** Whether the first job that needs a machine is a gang with several members. */
    boolean isForGang() {
        return forGang;
    }
}
