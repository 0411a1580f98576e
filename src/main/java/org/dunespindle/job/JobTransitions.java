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
    public static JobRecord apply(JobRecord job, List<TaskTermination> events, Instant now) {
        JobRecord j = job;
        var ended = new TreeMap<Integer, Boolean>();
        boolean plain = job.isOpen() && !job.submission().isGang();
        var bases = new HashMap<Integer, Long>();
        job.allocations().forEach(c -> bases.put(c.task(), c.attemptBase()));
        for (TaskTermination e : events) {
            if (bases.getOrDefault(e.task(), -1L) != e.attemptBase() || ended.containsKey(e.task())) {
                continue;
            }
            if (plain && (e.cause() == TerminationCause.DONE || e.cause() == TerminationCause.GONE)) {
                ended.put(e.task(), e.cause() == TerminationCause.DONE);
            } else if (j.allocation(e.task()).filter(c -> c.attemptBase() == e.attemptBase()).isPresent()) {
                j = one(j, e, now);
            }
        }
        return ended.isEmpty() ? j : j.withReleased(ended);
    }

    private static JobRecord one(JobRecord j, TaskTermination e, Instant now) {
        boolean gang = j.spec().isPresent() && j.submission().isGang();
        if (gang && e.cause() == TerminationCause.DONE && j.isOpen()) {
            return j.gangDone();
        }
        if (e.cause() == TerminationCause.ASSEMBLY_TIMEOUT) {
            return j.withPlaceholderReplaced(e.task());
        }
        JobRecord after = j;
        if (gang && j.isOpen() && j.gangPhase() == JobRecord.GangPhase.RUNNING) {
            // One member gone breaks the attempt: the others exit with peers or wait in vain, so all are stopped.
            after = after.withGangStopping();
        }
        after = after.withReleased(e.task(), e.cause() == TerminationCause.DONE);
        if (e.cause() == TerminationCause.ERROR && after.isOpen()) {
            after = after.withFailures(1, pause(after.failures() + 1, freeFailures(after), now));
            if (gang && after.failures() > FREE_FAILURES) {
                after = after.withQueuePosition(
                        now.toEpochMilli()); // it lets the gangs of its team go first, one of which may not fail
            }
        } else if (e.cause() == TerminationCause.REJECTED && after.isOpen()) {
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
