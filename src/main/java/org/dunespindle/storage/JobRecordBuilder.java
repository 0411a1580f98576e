package org.dunespindle.storage;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/** Builds a copy of a job's record with some fields changed. Fields that are not set keep their values. */
final class JobRecordBuilder {
    private final String id;
    private final Optional<Submission> spec;
    private final Instant arrived;
    private JobRecord.Outcome outcome;
    private long attemptCounter;
    private int nextTaskIndex;
    private List<Integer> requeued;
    private List<Allocation> allocations;
    private JobRecord.GangPhase gangPhase;
    private long gangAttempt;
    private long queuePosition;
    private int failures;
    private Optional<Instant> notBefore;
    private Optional<DelegationLink> delegationLink;

    JobRecordBuilder(JobRecord job) {
        id = job.id();
        spec = job.spec();
        arrived = job.arrived();
        outcome = job.outcome();
        attemptCounter = job.attemptCounter();
        nextTaskIndex = job.nextTaskIndex();
        requeued = job.requeued();
        allocations = job.allocations();
        gangPhase = job.gangPhase();
        gangAttempt = job.gangAttempt();
        queuePosition = job.queuePosition();
        failures = job.failures();
        notBefore = job.notBefore();
        delegationLink = job.delegationLink();
    }

    JobRecordBuilder outcome(JobRecord.Outcome value) {
        outcome = value;
        return this;
    }

    JobRecordBuilder attemptCounter(long value) {
        attemptCounter = value;
        return this;
    }

    JobRecordBuilder nextTaskIndex(int value) {
        nextTaskIndex = value;
        return this;
    }

    JobRecordBuilder requeued(List<Integer> value) {
        requeued = List.copyOf(value);
        return this;
    }

    JobRecordBuilder allocations(List<Allocation> value) {
        allocations = List.copyOf(value);
        return this;
    }

    JobRecordBuilder gangPhase(JobRecord.GangPhase value) {
        gangPhase = value;
        return this;
    }

    JobRecordBuilder gangAttempt(long value) {
        gangAttempt = value;
        return this;
    }

    JobRecordBuilder queuePosition(long value) {
        queuePosition = value;
        return this;
    }

    JobRecordBuilder failures(int value) {
        failures = value;
        return this;
    }

    JobRecordBuilder notBefore(Optional<Instant> value) {
        notBefore = value;
        return this;
    }

    JobRecordBuilder delegationLink(Optional<DelegationLink> value) {
        delegationLink = value;
        return this;
    }

    JobRecord build() {
        return new JobRecord(
                id,
                spec,
                arrived,
                outcome,
                attemptCounter,
                nextTaskIndex,
                requeued,
                allocations,
                gangPhase,
                gangAttempt,
                queuePosition,
                failures,
                notBefore,
                delegationLink);
    }
}
