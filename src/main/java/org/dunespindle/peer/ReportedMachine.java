package org.dunespindle.peer;

import java.time.Duration;

/** A machine as its owner last told. */
public record ReportedMachine(
        boolean up, boolean quarantined, Duration silentFor, Duration reportedAt, String address, long token) {}
