package org.dunespindle.machine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dunespindle.storage.JobRecord;

/**
 * Distinguishes faulty machines from crash-looping jobs by the machines on which tasks failed. A job with a faulty submission fails on
 * every machine; if its failures counted against the machines, they would be quarantined one after another. A machine is faulty if
 * different jobs fail on it; a job is crash-looping if it fails on different machines and none of its tasks ever succeeded. A controller
 * observes failures on its own machines only, but every job's record counts all failures of the job.
 */
public final class CrashLoopDetector {
    /** A job that failed on at least this many machines without any success is crash-looping. */
    private static final int MIN_CRASH_LOOP_MACHINES = 2;
    /** A job without a completed task that failed at least this often elsewhere does not count against the machine here. */
    private static final int MIN_FAILURES_ELSEWHERE = 2;

    private final Function<String, Optional<JobRecord>> jobRecords;
    private final Map<String, Set<String>> machinesByJob = new HashMap<>();
    /** By machine and job, the failures since a task last succeeded on the machine. */
    private final Map<String, Map<String, Integer>> failuresByMachine = new HashMap<>();

    private final Set<String> succeededJobs = new HashSet<>();

    /**
     * Creates a detector without observations.
     *
     * @param jobRecords looks up the record of an active job by its id
     */
    public CrashLoopDetector(Function<String, Optional<JobRecord>> jobRecords) {
        this.jobRecords = jobRecords;
    }

    /** Records that a task of a job failed on a machine. */
    public void recordFailure(String jobId, String machineId) {
        machinesByJob.computeIfAbsent(jobId, id -> new HashSet<>()).add(machineId);
        failuresByMachine.computeIfAbsent(machineId, id -> new HashMap<>()).merge(jobId, 1, Integer::sum);
    }

    /** Records that a task of a job succeeded on a machine, which clears all earlier failures of the machine. */
    public void recordSuccess(String jobId, String machineId) {
        succeededJobs.add(jobId);
        failuresByMachine.remove(machineId);
    }

    /** Whether a job failed on several machines and, as far as this controller has observed, never succeeded. */
    public boolean isCrashLooping(String jobId) {
        return !succeededJobs.contains(jobId) && machinesWithFailuresOf(jobId).size() >= MIN_CRASH_LOOP_MACHINES;
    }

    /** The number of jobs that failed on a machine and are not themselves known to be faulty. */
    int jobsFailedOn(String machineId) {
        Map<String, Integer> failuresByJob = failuresByMachine.getOrDefault(machineId, Map.of());
        int count = 0;
        for (Map.Entry<String, Integer> failures : failuresByJob.entrySet()) {
            String jobId = failures.getKey();
            if (!isCrashLooping(jobId) && !failsElsewhere(jobId, failures.getValue())) {
                count++;
            }
        }
        return count;
    }

    private boolean failsElsewhere(String jobId, int failuresHere) {
        return !succeededJobs.contains(jobId)
                && jobRecords
                        .apply(jobId)
                        .filter(job -> job.failures() - failuresHere >= MIN_FAILURES_ELSEWHERE && job.doneCount() == 0)
                        .isPresent();
    }

    /** Machines on which tasks of a job have failed. */
    public Set<String> machinesWithFailuresOf(String jobId) {
        return machinesByJob.getOrDefault(jobId, Set.of());
    }

    /** Drops jobs that have ended and machines that no longer exist. */
    public void prune(Predicate<String> isPresentMachine) {
        Predicate<String> hasEnded =
                jobId -> jobRecords.apply(jobId).filter(JobRecord::isOpen).isEmpty();
        machinesByJob.keySet().removeIf(hasEnded);
        succeededJobs.removeIf(hasEnded);
        failuresByMachine.keySet().removeIf(machineId -> !isPresentMachine.test(machineId));
        failuresByMachine
                .values()
                .forEach(failuresByJob -> failuresByJob.keySet().removeIf(hasEnded));
        failuresByMachine.values().removeIf(Map::isEmpty);
    }
}
