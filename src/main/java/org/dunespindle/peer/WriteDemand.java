package org.dunespindle.peer;

/**
 * A controller's demand for the state service's write rate.
 *
 * @param writes the writes a second that it makes now
 * @param waiting how many proposals are pending in its commit queue
 */
public record WriteDemand(double writes, int waiting) {}
