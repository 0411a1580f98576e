package org.dunespindle.scheduling;

/**
 * Tasks of a job that were allocated together, and so have run for the same time.
 *
 * @param job the id of the job
 * @param attemptBase the attempt base that their allocations share
 */
public record JobAttempt(String job, long attemptBase) {}
