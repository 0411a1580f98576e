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
 * Tells faulty machines from faulty jobs by where which tasks failed. A job submitted with a mistake fails on every machine: held
 * against the machines it would put one after the other in quarantine. A machine is faulty when different jobs fail on it, a job when it
 * fails on different machines and has never ended well on any. A controller sees only its own machines fail, but every job's record tells
 * how often it has failed in all.
 */
public final class CrashLoopDetector {
    /** A job that failed on so many machines, and nowhere ended well, is taken for faulty. */
    private static final int MACHINES = 2;
    /** So many failures elsewhere, and none of its tasks done, show the same of a job that failed on one machine here. */
    private static final int ELSEWHERE = 2;

    private final Function<String, Optional<JobRecord>> record;
    private final Map<String, Set<String>> machinesOfJob = new HashMap<>();
    /** How often each job failed on a machine since one of its tasks last ended well. */
    private final Map<String, Map<String, Integer>> failuresByMachine = new HashMap<>();

    private final Set<String> endedWell = new HashSet<>();

    public CrashLoopDetector(Function<String, Optional<JobRecord>> record) {
        this.record = record;
    }

    public void failed(String job, String machine) {
        machinesOfJob.computeIfAbsent(job, j -> new HashSet<>()).add(machine);
        failuresByMachine.computeIfAbsent(machine, m -> new HashMap<>()).merge(job, 1, Integer::sum);
    }

    public void succeeded(String job, String machine) {
        endedWell.add(job);
        failuresByMachine.remove(machine);
    }

    public boolean isCrashLooping(String job) {
        return !endedWell.contains(job)
                && machinesOfJob.getOrDefault(job, Set.of()).size() >= MACHINES;
    }

    /** How many jobs failed on a machine that are not at fault themselves, as far as is known by now. */
    int jobsFailedOn(String machine) {
        int count = 0;
        for (Map.Entry<String, Integer> e :
                failuresByMachine.getOrDefault(machine, Map.of()).entrySet()) {
            count += isCrashLooping(e.getKey()) || failsElsewhere(e.getKey(), e.getValue()) ? 0 : 1;
        }
        return count;
    }

    private boolean failsElsewhere(String job, int here) {
        return !endedWell.contains(job)
                && record.apply(job)
                        .filter(j -> j.failures() - here >= ELSEWHERE && j.doneCount() == 0)
                        .isPresent();
    }

    /** Machines on which a job has failed. */
    public Set<String> machinesOf(String job) {
        return machinesOfJob.getOrDefault(job, Set.of());
    }

    /** Forgets jobs that are over and machines that are gone. */
    public void prune(Predicate<String> presentMachine) {
        Predicate<String> over = j -> record.apply(j).filter(JobRecord::isOpen).isEmpty();
        machinesOfJob.keySet().removeIf(over);
        endedWell.removeIf(over);
        failuresByMachine.keySet().removeIf(m -> !presentMachine.test(m));
        failuresByMachine.values().forEach(jobs -> jobs.keySet().removeIf(over));
        failuresByMachine.values().removeIf(Map::isEmpty);
    }
}
