package org.dunespindle.federation;

/**
 * One giving away of a job.
 *
 * @param number higher with every transfer of the job's own cell; whoever has seen a higher one refuses a lower one
 */
public record Transfer(String job, long number) {}
