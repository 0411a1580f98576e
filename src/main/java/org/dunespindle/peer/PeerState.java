package org.dunespindle.peer;

import java.time.Duration;

/**
 * The last heartbeat of another controller.
 *
 * @param at when it was received, by this process's clock
 * @param replicaStaleness how old the controller's replica of the stored state was
 * @param writes the writes a second that the controller made
 * @param waiting how many proposals were pending in its commit queue
 */
public record PeerState(Duration at, long incarnation, Duration replicaStaleness, double writes, int waiting) {}
