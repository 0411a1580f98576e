package org.dunespindle.peer;

/**
 * A controller's demand for the state service's write rate.
 *
 * @param writesPerSecond the writes a second that it makes now
 * @param pendingProposals how many proposals are pending in its commit queue
 */
public record WriteDemand(double writesPerSecond, int pendingProposals) {}
