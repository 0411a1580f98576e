package org.dunespindle.peer;

import java.time.Duration;

/**
 * The sender's own status, in heartbeats and in replies.
 *
 * @param replicaStaleness the age of the controller's replica of the stored state
 * @param writeDemand its demand for the state service's write rate
 */
record SenderStatus(String node, long incarnation, Duration replicaStaleness, WriteDemand writeDemand) {}
