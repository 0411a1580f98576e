package org.dunespindle.peer;

import java.time.Duration;

/**
 * The last heartbeat of another controller.
 *
 * @param at when it was received, on this process's clock
 * @param replicaStaleness the age of the controller's replica of the stored state
 * @param writesPerSecond the controller's write rate
 * @param pendingProposals the number of proposals pending in its commit queue
 */
public record PeerState(
        Duration at, long incarnation, Duration replicaStaleness, double writesPerSecond, int pendingProposals) {}
