package org.dunespindle.scheduling;

/**
 * Identifies the tasks of a job that were allocated together, and therefore have run for the same time.
 *
 * @param job the id of the job
 * @param attemptBase the attempt base shared by their allocations
 */
public record JobAttempt(String job, long attemptBase) {}
