package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** A plan under construction: the remaining capacity and quotas, and the decisions made so far. */
final class PlanState {
    private final ClusterSnapshot snapshot;
    private final MachineCandidates machines;
    private final QuotaBudget quota;
    private final List<Binding> bindings = new ArrayList<>();
    private final List<Eviction> evictions = new ArrayList<>();
    private final List<Eviction> moves = new ArrayList<>();
    private final List<Shortfall> shortfalls = new ArrayList<>();
    private final Map<String, String> waitReasons = new LinkedHashMap<>();
    private final Set<String> wantedMachines = new HashSet<>();
    private final Set<String> gangMachines = new HashSet<>();
    /** Number of tasks, by job id, that have ended but are still allocated; the job's next placement releases them. */
    private final Map<String, Integer> endedTasks = new HashMap<>();
    /** Ids of jobs with ended tasks. Most jobs have none, and a lookup by job is cheaper than one by task attempt. */
    private final Set<String> jobsWithEndedTasks = new HashSet<>();

    PlanState(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
        this.machines = new MachineCandidates(snapshot.machines());
        this.quota = new QuotaBudget(snapshot.teams(), snapshot.projection().usage());
        snapshot.endedTasks().forEach(attempt -> jobsWithEndedTasks.add(attempt.jobId()));
        snapshot.jobs().forEach(this::occupyProjected);
        snapshot.projection().withUnprojectedAllocations().forEach(this::occupyUnprojected);
    }

    private void occupyProjected(JobRecord job) {
        for (Allocation allocation : job.allocations()) {
            if (hasEnded(job, allocation)) {
                endedTasks.merge(job.id(), 1, Integer::sum);
            } else {
                occupy(job, allocation);
            }
        }
    }

    /** Allocations stored by other controllers occupy capacity even if this controller's proposal for the job does not contain them. */
    private void occupyUnprojected(ProjectedJob job) {
        for (Allocation allocation : job.unprojectedAllocations()) {
            if (!hasEnded(job.stored(), allocation)) {
                occupy(job.stored(), allocation);
            }
        }
    }

    private void occupy(JobRecord job, Allocation allocation) {
        Optional<MachineCapacity> machine = machines.machine(allocation.machineId());
        if (machine.isPresent()) {
            machine.get().addAllocated(job, allocation);
        }
    }

    private boolean hasEnded(JobRecord job, Allocation allocation) {
        return jobsWithEndedTasks.contains(job.id())
                && snapshot.endedTasks()
                        .contains(new TaskAttempt(job.id(), allocation.task(), allocation.attemptBase()));
    }

    /** The input of the plan. */
    ClusterSnapshot snapshot() {
        return snapshot;
    }

    /** The machines with their remaining capacity. */
    MachineCandidates machines() {
        return machines;
    }

    /** The remaining quotas of the teams. */
    QuotaBudget quota() {
        return quota;
    }

    /** The plan with all decisions made so far. */
    Plan plan() {
        return new Plan(bindings, evictions, shortfalls, waitReasons, wantedMachines, gangMachines, moves);
    }

    /** How many of a job's allocated tasks have ended; their entries in its record can be reused. */
    int endedTasks(JobRecord job) {
        return endedTasks.getOrDefault(job.id(), 0);
    }

    /** Allocates capacity and quota for a task. */
    void allocate(Submission job, MachineCapacity machine) {
        reserveCapacity(job, machine);
        machine.addTaskImage(job.image());
        quota.allocate(job, 1);
        if (job.isGang()) {
            gangMachines.add(machine.snapshot().id());
        }
    }

    /** Reserves capacity for a task without placing it. */
    void reserveCapacity(Submission job, MachineCapacity machine) {
        machine.allocate(job.perTask());
        machine.markPlanned();
        wantedMachines.add(machine.snapshot().id());
    }

    /** Binds tasks of a job to machines; does nothing if there are none. */
    void bind(JobRecord job, Map<Integer, String> places) {
        if (!places.isEmpty()) {
            bindings.add(new Binding(job, places));
        }
    }

    /** Decides to preempt a task for a job. */
    void evict(MachineCapacity.Victim victim, JobRecord forJob) {
        evictions.add(new Eviction(victim.job(), victim.allocation(), forJob.id()));
    }

    /** Decides to stop a service replica in order to start it on another machine. */
    void move(MachineCapacity.Victim replica) {
        moves.add(
                new Eviction(replica.job(), replica.allocation(), replica.job().id()));
    }

    /** Records that some tasks of a job fit on no machine, not even on a booting one. */
    void addShortfall(JobRecord job, int tasks, Optional<String> zone) {
        shortfalls.add(new Shortfall(job, tasks, zone));
    }

    /** Records why a job waits, unless a reason is already recorded. */
    void addWaitReason(JobRecord job, String reason) {
        waitReasons.putIfAbsent(job.id(), reason);
    }

    /** Records why a job waits, replacing any earlier reason. */
    void replaceWaitReason(JobRecord job, String reason) {
        waitReasons.put(job.id(), reason);
    }

    /** The candidates that have capacity for a task and are allowed by its zone rules, ordered by descending score. */
    List<MachineCapacity> withCapacity(
            Submission job, Collection<MachineCapacity> candidates, ZoneRules zones, boolean upOnly) {
        var found = new ArrayList<MachineCapacity>();
        for (MachineCapacity machine : candidates) {
            boolean usable = !upOnly || machine.snapshot().up();
            if (usable && machine.hasCapacity(job.perTask()) && zones.allows(machine.snapshot())) {
                machine.score(MachineScore.of(job, machine));
                found.add(machine);
            }
        }
        found.sort((one, other) -> Double.compare(other.score(), one.score()));
        return found;
    }

    /** How many of a job's tasks are allocated in each zone. */
    Map<String, Integer> tasksPerZone(JobRecord job) {
        var perZone = new HashMap<String, Integer>();
        for (Allocation allocation : job.allocations()) {
            MachinePool pool = snapshot.pools().get(allocation.machineId());
            if (pool != null) {
                perZone.merge(pool.zone(), 1, Integer::sum);
            }
        }
        return perZone;
    }
}
