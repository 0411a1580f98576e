package org.dunespindle.storage;

/**
 * The placement of a task on a machine. While a job's record contains the allocation, the task may run there.
 *
 * @param task the task's index in its job
 * @param attemptBase the attempt of an array's task. A gang's placeholder runs under {@code attemptBase + task}: placeholders
 *     of a gang must not share an attempt, or its tasks would assemble the gang from them.
 * @param stopping whether the task is being stopped
 */
public record Allocation(int task, String machineId, long attemptBase, boolean stopping) {
    /** The same allocation, marked as being stopped. */
    public Allocation stopped() {
        return new Allocation(task, machineId, attemptBase, true);
    }
}
