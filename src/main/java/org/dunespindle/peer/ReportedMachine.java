package org.dunespindle.peer;

import java.time.Duration;

/** A machine as its owner last told. */
public record ReportedMachine(
        boolean up, boolean bad, Duration silentFor, Duration toldAt, String address, long token) {}
