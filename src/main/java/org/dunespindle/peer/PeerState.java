package org.dunespindle.peer;

import java.time.Duration;

/**
 * The last heartbeat of another controller.
 *
 * @param at when it was received, by this process's clock
 * @param replicaStaleness how old the controller's replica of the stored state was
 * @param writesPerSecond the writes a second that the controller made
 * @param pendingProposals how many proposals were pending in its commit queue
 */
public record PeerState(
        Duration at, long incarnation, Duration replicaStaleness, double writesPerSecond, int pendingProposals) {}
