package org.dunespindle.control;

/**
 * An allocation's fate, to be recorded before the worker may forget the task. It names the allocation by its base too: by the time it
 * is recorded the task may have been booked again, and must not be taken for ended then.
 */
public record TaskTermination(String job, int task, long attemptBase, TerminationCause cause, String detail) {}
