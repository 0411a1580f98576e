package org.dunespindle.peer;

import java.time.Duration;

/** The last heartbeat of a controller. */
public record PeerState(Duration at, long incarnation, Duration replicaStaleness, double writes, int waiting) {}
