package org.dunespindle.scheduling;

/**
 * Identifies one allocation of a task, as distinct from earlier and later allocations of the same task.
 *
 * @param jobId the id of the job
 * @param attemptBase the attempt base of the allocation
 */
public record TaskAttempt(String jobId, int task, long attemptBase) {}
