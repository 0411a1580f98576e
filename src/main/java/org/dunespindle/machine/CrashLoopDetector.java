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
 * Tells faulty machines from crash-looping jobs by which tasks failed where. A job submitted with a mistake fails on every machine: held
 * against the machines, it would put one after the other in quarantine. A machine is faulty when different jobs fail on it; a job is
 * crash-looping when it fails on different machines and none of its tasks ever succeeded. A controller sees failures on its own machines
 * only, but every job's record counts all failures of the job.
 */
public final class CrashLoopDetector {
    /** A job that failed on so many machines without any success is crash-looping. */
    private static final int MIN_MACHINES_OF_CRASH_LOOP = 2;
    /** So many failures elsewhere, with no task done, show the same of a job that failed on one machine here. */
    private static final int MIN_FAILURES_ELSEWHERE = 2;

    private final Function<String, Optional<JobRecord>> jobRecords;
    private final Map<String, Set<String>> machinesByJob = new HashMap<>();
    /** How often each job failed on a machine since any task last succeeded there. */
    private final Map<String, Map<String, Integer>> failuresByMachine = new HashMap<>();

    private final Set<String> succeededJobs = new HashSet<>();

    /**
     * Creates a detector that has seen nothing.
     *
     * @param jobRecords the stored record of a job
     */
    public CrashLoopDetector(Function<String, Optional<JobRecord>> jobRecords) {
        this.jobRecords = jobRecords;
    }

    /** Records that a task of a job failed on a machine. */
    public void recordFailure(String jobId, String machineId) {
        machinesByJob.computeIfAbsent(jobId, id -> new HashSet<>()).add(machineId);
        failuresByMachine.computeIfAbsent(machineId, id -> new HashMap<>()).merge(jobId, 1, Integer::sum);
    }

    /** Records that a task of a job succeeded on a machine, which clears the machine of all failures before. */
    public void recordSuccess(String jobId, String machineId) {
        succeededJobs.add(jobId);
        failuresByMachine.remove(machineId);
    }

    /** Whether a job fails wherever it is tried, as far as is seen from this controller. */
    public boolean isCrashLooping(String jobId) {
        return !succeededJobs.contains(jobId) && machinesWithFailuresOf(jobId).size() >= MIN_MACHINES_OF_CRASH_LOOP;
    }

    /** How many jobs failed on a machine without being at fault themselves, as far as is known by now. */
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

    /** Forgets jobs that have ended and machines that are gone. */
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
