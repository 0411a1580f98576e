package org.dunespindle.federation;

/**
 * One delegation of a job.
 *
 * @param number a fencing token, which increases with every transfer of the origin: a cell that has stored a higher one for the job
 *     refuses a lower one
 */
public record Transfer(String job, long number) {}
