package org.dunespindle.storage;

/**
 * A task's place on a machine: while a job's record contains it, the task may run there.
 *
 * @param task the task's index in its job
 * @param attemptBase the attempt of an array's task; a gang's placeholder runs under {@code attemptBase + task}, so that no
 *     two placeholders of a gang share an attempt and the gang cannot assemble from them
 * @param stopping whether the task is being stopped
 */
public record Allocation(int task, String machineId, long attemptBase, boolean stopping) {
    /** The same allocation, marked as being stopped. */
    public Allocation stopped() {
        return new Allocation(task, machineId, attemptBase, true);
    }
}
