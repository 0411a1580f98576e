package org.dunespindle.control;

import org.dunespindle.storage.PlacedTask;

/**
 * The end of an allocation, to be stored before the worker may forget the attempt.
 *
 * @param attemptBase tells this allocation from a later one of the same task: by the time the termination is stored, the task may
 *     have been placed again, and that allocation must not be taken for ended
 * @param detail the cause in words, for operators
 */
public record TaskTermination(String job, int task, long attemptBase, TerminationCause cause, String detail) {
    /** The end of this allocation. */
    static TaskTermination of(PlacedTask placed, TerminationCause cause, String detail) {
        return new TaskTermination(
                placed.job().id(),
                placed.allocation().task(),
                placed.allocation().attemptBase(),
                cause,
                detail);
    }
}
