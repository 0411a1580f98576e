package org.dunespindle.job;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.storage.JobRecord;

/** Applies what became of allocations to a job's record. Pure. */
public final class JobTransitions {
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(1);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);
    private static final int FREE_FAILURES = 3;

    private JobTransitions() {}

    /** The record after some outcomes. */
    public static JobRecord apply(JobRecord job, List<TaskTermination> terminations, Instant now) {
        JobRecord j = job;
        var ended = new TreeMap<Integer, Boolean>();
        boolean plain = job.isOpen() && !job.submission().isGang();
        var bases = new HashMap<Integer, Long>();
        job.allocations().forEach(allocation -> bases.put(allocation.task(), allocation.attemptBase()));
        for (TaskTermination termination : terminations) {
            if (bases.getOrDefault(termination.task(), -1L) != termination.attemptBase()
                    || ended.containsKey(termination.task())) {
                continue;
            }
            if (plain
                    && (termination.cause() == TerminationCause.DONE || termination.cause() == TerminationCause.GONE)) {
                ended.put(termination.task(), termination.cause() == TerminationCause.DONE);
            } else if (j.allocation(termination.task())
                    .filter(allocation -> allocation.attemptBase() == termination.attemptBase())
                    .isPresent()) {
                j = one(j, termination, now);
            }
        }
        return ended.isEmpty() ? j : j.withReleased(ended);
    }

    private static JobRecord one(JobRecord job, TaskTermination termination, Instant now) {
        boolean gang = job.spec().isPresent() && job.submission().isGang();
        if (gang && termination.cause() == TerminationCause.DONE && job.isOpen()) {
            return job.gangDone();
        }
        if (termination.cause() == TerminationCause.ASSEMBLY_TIMEOUT) {
            return job.withPlaceholderReplaced(termination.task());
        }
        JobRecord after = job;
        if (gang && job.isOpen() && job.gangPhase() == JobRecord.GangPhase.RUNNING) {
            // One member gone breaks the attempt: the others exit with peers or wait in vain, so all are stopped.
            after = after.withGangStopping();
        }
        after = after.withReleased(termination.task(), termination.cause() == TerminationCause.DONE);
        if (termination.cause() == TerminationCause.ERROR && after.isOpen()) {
            after = after.withFailures(1, pause(after.failures() + 1, freeFailures(after), now));
            if (gang && after.failures() > FREE_FAILURES) {
                after = after.withQueuePosition(
                        now.toEpochMilli()); // it lets the gangs of its team go first, one of which may not fail
            }
        } else if (termination.cause() == TerminationCause.REJECTED && after.isOpen()) {
            after = after.withFailures(0, Optional.of(now.plus(FIRST_PAUSE)));
        }
        return after;
    }

    /** A service runs for so long that it meets faulty machines; one that fails everywhere loses all replicas at once. */
    private static int freeFailures(JobRecord job) {
        boolean service = job.submission().isService();
        return FREE_FAILURES + (service ? job.submission().tasks() : 0);
    }

    /** A job that fails everywhere backs off, so that it does not wear out machine after machine. */
    private static Optional<Instant> pause(int failures, int free, Instant now) {
        if (failures <= free) {
            return Optional.empty();
        }
        Duration d = FIRST_PAUSE.multipliedBy(1L << Math.min(10, failures - free));
        return Optional.of(now.plus(d.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : d));
    }
}
