package org.dunespindle.peer;

import java.time.Duration;

/**
 * The last report of a machine from another controller.
 *
 * @param up whether the machine accepted tasks
 * @param timeSinceLastSeen the time from the machine's last sign of life to the report
 * @param reportedAt when the report was received, on this process's clock
 * @param token the fencing token in the reporting controller's commands to the machine
 */
public record ReportedMachine(
        boolean up, boolean quarantined, Duration timeSinceLastSeen, Duration reportedAt, String address, long token) {}
