package org.dunespindle.control;

import org.dunespindle.storage.PlacedTask;

/**
 * The end of an allocation. It is stored before the worker may forget the attempt.
 *
 * @param attemptBase distinguishes this allocation from a later one of the same task: the task may be placed again before the
 *     termination is stored, and the new allocation must not be ended by it
 * @param detail a description of the cause for operators
 */
public record TaskTermination(String job, int task, long attemptBase, TerminationCause cause, String detail) {
    /** Creates the termination of a placed task's allocation. */
    static TaskTermination of(PlacedTask placed, TerminationCause cause, String detail) {
        return new TaskTermination(
                placed.job().id(),
                placed.allocation().task(),
                placed.allocation().attemptBase(),
                cause,
                detail);
    }
}
