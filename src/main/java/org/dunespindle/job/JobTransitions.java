package org.dunespindle.job;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.storage.JobRecord;

/** Pure functions that apply task terminations to a job's record. */
public final class JobTransitions {
    /** The back-off after a rejected start, and the base of the exponential back-off after failures. */
    private static final Duration MIN_BACKOFF = Duration.ofSeconds(1);

    private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);
    /** The maximum number of doublings of the back-off, so that the shift below cannot overflow. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private static final int MAX_FAILURES_WITHOUT_BACKOFF = 3;
    private static final long NO_ATTEMPT = -1L;

    private JobTransitions() {}

    /** The job's record after the given terminations; those of attempts that are not allocated are ignored. */
    public static JobRecord apply(JobRecord job, List<TaskTermination> terminations, Instant now) {
        JobRecord updated = job;
        // Tasks that are only released, mapped to whether they are done. They are released together.
        var released = new TreeMap<Integer, Boolean>();
        boolean releasesTogether = job.isOpen() && !job.submission().isGang();
        Map<Integer, Long> attemptBases = attemptBases(job);
        for (TaskTermination termination : terminations) {
            int task = termination.task();
            if (attemptBases.getOrDefault(task, NO_ATTEMPT) != termination.attemptBase()
                    || released.containsKey(task)) {
                continue;
            }
            if (releasesTogether && onlyReleases(termination)) {
                released.put(task, isDone(termination));
            } else if (isAllocated(updated, termination)) {
                updated = applyOne(updated, termination, now);
            }
        }
        return released.isEmpty() ? updated : updated.withReleased(released);
    }

    private static Map<Integer, Long> attemptBases(JobRecord job) {
        var bases = new HashMap<Integer, Long>();
        job.allocations().forEach(allocation -> bases.put(allocation.task(), allocation.attemptBase()));
        return bases;
    }

    private static boolean onlyReleases(TaskTermination termination) {
        return isDone(termination) || termination.cause() == TerminationCause.GONE;
    }

    private static boolean isDone(TaskTermination termination) {
        return termination.cause() == TerminationCause.DONE;
    }

    private static boolean isAllocated(JobRecord job, TaskTermination termination) {
        return job.allocation(termination.task())
                .filter(allocation -> allocation.attemptBase() == termination.attemptBase())
                .isPresent();
    }

    private static JobRecord applyOne(JobRecord job, TaskTermination termination, Instant now) {
        boolean gang = job.spec().isPresent() && job.submission().isGang();
        if (gang && isDone(termination) && job.isOpen()) {
            return job.gangCompleted();
        }
        if (termination.cause() == TerminationCause.ASSEMBLY_TIMEOUT) {
            return job.withPlaceholderReplaced(termination.task());
        }
        JobRecord after = job;
        if (gang && job.isOpen() && job.gangPhase() == JobRecord.GangPhase.RUNNING) {
            // Without this member the attempt fails: the others exit too or wait in vain, so all are stopped.
            after = after.withGangStopping();
        }
        after = after.withReleased(termination.task(), isDone(termination));
        if (!after.isOpen()) {
            return after;
        }
        return switch (termination.cause()) {
            case ERROR -> afterFailure(after, gang, now);
            case REJECTED -> after.withFailures(0, Optional.of(now.plus(MIN_BACKOFF)));
            default -> after;
        };
    }

    private static JobRecord afterFailure(JobRecord job, boolean gang, Instant now) {
        JobRecord failed = job.withFailures(1, backoffUntil(job.failures() + 1, failuresWithoutBackoff(job), now));
        // A gang that keeps failing is queued behind the other gangs of its team, which may succeed.
        return gang && failed.failures() > MAX_FAILURES_WITHOUT_BACKOFF
                ? failed.withQueuePosition(now.toEpochMilli())
                : failed;
    }

    /**
     * The number of failures without back-off. A service gets one more per replica: it runs long enough for some replicas to fail on faulty
     * machines, whereas a service that fails everywhere loses all its replicas at once.
     */
    private static int failuresWithoutBackoff(JobRecord job) {
        int replicas = job.submission().isService() ? job.submission().tasks() : 0;
        return MAX_FAILURES_WITHOUT_BACKOFF + replicas;
    }

    /** When the back-off of a failing job ends. The back-off keeps a job that fails everywhere from failing on one machine after another. */
    private static Optional<Instant> backoffUntil(int failures, int withoutBackoff, Instant now) {
        if (failures <= withoutBackoff) {
            return Optional.empty();
        }
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, failures - withoutBackoff);
        Duration backoff = MIN_BACKOFF.multipliedBy(1L << doublings);
        return Optional.of(now.plus(backoff.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : backoff));
    }
}
