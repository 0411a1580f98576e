package org.dunespindle.control;

import java.time.Duration;
import java.util.Optional;

/**
 * The latest inspections of one worker that went unanswered, one after the other. A single one may fail because of a lost packet, or
 * because this process was paused while it was in flight.
 */
final class UnansweredInspections {
    private Duration lastStartedAt = Duration.ZERO;
    private Optional<Duration> previousUnanswered = Optional.empty();
    private Optional<Duration> lastUnanswered = Optional.empty();

    /** Records the start of an inspection; one is in flight at a time. */
    void started(Duration now) {
        lastStartedAt = now;
    }

    /** Records the end of the inspection that was started last. */
    void ended(boolean answered) {
        previousUnanswered = answered ? Optional.empty() : lastUnanswered;
        lastUnanswered = answered ? Optional.empty() : Optional.of(lastStartedAt);
    }

    /** When the earlier of the last two inspections started, if both went unanswered; empty otherwise. */
    Optional<Duration> twiceSince() {
        return previousUnanswered;
    }
}
