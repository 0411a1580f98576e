package org.dunespindle.storage;

import java.util.Optional;

/** The outcome of a search for a job's record. */
public sealed interface JobLookupResult {
    /** The job was accepted and has this record. */
    record Found(JobRecord record) implements JobLookupResult {}

    /** The state store had no record of the job after the search began. */
    record NeverAccepted() implements JobLookupResult {}

    /** The state store could not be read, or not in time: nothing is known about the job. */
    record Unavailable() implements JobLookupResult {}

    /** Whether the search was successful, whatever it found. */
    default boolean isConclusive() {
        return !(this instanceof Unavailable);
    }

    /** The job's record if it was found. */
    default Optional<JobRecord> job() {
        return this instanceof Found found ? Optional.of(found.record) : Optional.empty();
    }
}
