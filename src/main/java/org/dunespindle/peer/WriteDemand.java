package org.dunespindle.peer;

/**
 * A controller's demand for the state service's write rate.
 *
 * @param writesPerSecond its current write rate
 * @param pendingProposals the number of proposals pending in its commit queue
 */
public record WriteDemand(double writesPerSecond, int pendingProposals) {}
