package org.dunespindle.peer;

import java.time.Duration;

/**
 * A machine as another controller has reported it.
 *
 * @param up whether the machine accepted tasks
 * @param silentFor how long the machine had been silent when it was reported
 * @param reportedAt when the report was received, by this process's clock
 * @param token the fencing token that the reporting controller commanded the machine with
 */
public record ReportedMachine(
        boolean up, boolean quarantined, Duration silentFor, Duration reportedAt, String address, long token) {}
