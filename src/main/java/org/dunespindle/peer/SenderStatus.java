package org.dunespindle.peer;

import java.time.Duration;

/**
 * What a controller tells of itself, in heartbeats and in replies alike.
 *
 * @param replicaStaleness how old the controller's replica of the stored state may be
 * @param writeDemand its demand for the state service's write rate
 */
record SenderStatus(String node, long incarnation, Duration replicaStaleness, WriteDemand writeDemand) {}
