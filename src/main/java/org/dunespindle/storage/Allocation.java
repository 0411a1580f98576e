package org.dunespindle.storage;

/**
 * A task's place: while it stands in a job's record, the task may be on that machine. {@code base} is
 * the attempt of an array's task; a gang member's placeholder runs under {@code base + task}, so that
 * no two placeholders of a gang share an attempt and the gang cannot assemble from them.
 */
public record Allocation(int task, String machineId, long attemptBase, boolean stopping) {
    /** The same allocation, marked as being stopped. */
    public Allocation stopped() {
        return new Allocation(task, machineId, attemptBase, true);
    }
}
