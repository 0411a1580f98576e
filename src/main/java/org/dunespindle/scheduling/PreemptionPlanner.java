package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Chooses the lower-priority tasks that are preempted for a job, by least cost. */
final class PreemptionPlanner {
    /** The cost of an image fetch, as an equivalent amount of lost work. */
    private static final Duration FETCH_COST = Duration.ofSeconds(20);

    /** The maximum cost of the work that a victim without checkpoints loses. */
    private static final Duration MAX_LOST_WORK = Duration.ofSeconds(120);
    /** The cost of stopping any task, in milliseconds of work. */
    private static final long STOP_COST_MILLIS = 1000;

    /** Tasks that are already being stopped cost nothing more. Their machine is chosen first, so that no further victims are stopped elsewhere. */
    private static final long ALREADY_STOPPING_COST = -1;

    private final PlanState state;

    /** One way to free capacity for a task on a machine: the victims and the cost of preempting them. */
    private record PreemptionOption(MachineCapacity machine, List<MachineCapacity.Victim> victims, long cost) {}

    PreemptionPlanner(PlanState state) {
        this.state = state;
    }

    /**
     * Whether a job may preempt a task. Both preemption and the planning order depend on priority: if they differed, the preempted job could be
     * placed on the freed capacity first, and preemption would repeat endlessly.
     */
    static boolean mayPreempt(JobRecord job, MachineCapacity.Victim victim) {
        return victim.job().submission().priority().compareTo(job.submission().priority()) < 0;
    }

    /** Frees capacity for tasks of a job at the least cost; returns the number of tasks for which none could be freed. */
    int preemptFor(JobRecord job, List<MachineCapacity> candidates, ZoneRules zones, int tasks) {
        var options = new PriorityQueue<PreemptionOption>(Comparator.comparingLong(PreemptionOption::cost)
                .thenComparing(option -> option.machine.snapshot().id()));
        for (MachineCapacity machine : candidates) {
            if (machine.snapshot().up() && zones.allows(machine.snapshot())) {
                option(job, machine).ifPresent(options::add);
            }
        }
        int remaining = tasks;
        while (remaining > 0 && !options.isEmpty()) {
            PreemptionOption chosen = options.poll();
            if (!zones.allows(chosen.machine.snapshot())) {
                continue;
            }
            apply(job, chosen);
            zones.addTask(chosen.machine.snapshot().zone());
            remaining--;
            option(job, chosen.machine).ifPresent(options::add);
        }
        return remaining;
    }

    private void apply(JobRecord job, PreemptionOption chosen) {
        chosen.machine.reserve(chosen.victims);
        chosen.victims.forEach(victim -> state.evict(victim, job));
        state.allocate(job.submission(), chosen.machine);
        state.addWaitReason(
                job,
                "waits for lower-priority tasks to be preempted on "
                        + chosen.machine.snapshot().id());
    }

    /** The way to free capacity for one task on a machine; empty if preempting its lower-priority tasks does not suffice. */
    private Optional<PreemptionOption> option(JobRecord job, MachineCapacity machine) {
        if (!machine.hasPreemptibleOrStopping()) {
            return Optional.empty();
        }
        Resources perTask = job.submission().perTask();
        Resources free = machine.freeAfterStopping();
        var chosen = new ArrayList<MachineCapacity.Victim>(2);
        for (MachineCapacity.Victim victim : machine.victims()) {
            if (perTask.fitsIn(free)) {
                break;
            }
            if (mayPreempt(job, victim)) {
                chosen.add(victim);
                free = free.plus(victim.resources());
            }
        }
        return perTask.fitsIn(free)
                ? Optional.of(new PreemptionOption(machine, chosen, cost(job, machine, chosen)))
                : Optional.empty();
    }

    private long cost(JobRecord job, MachineCapacity machine, List<MachineCapacity.Victim> chosen) {
        if (chosen.isEmpty()) {
            return ALREADY_STOPPING_COST;
        }
        long cost = machine.hasImage(job.submission().image()) ? 0 : FETCH_COST.toMillis();
        for (MachineCapacity.Victim victim : chosen) {
            cost += STOP_COST_MILLIS + lostWork(victim).toMillis();
        }
        return cost;
    }

    /** The work that is lost by stopping a task: its running time, but at most one checkpoint interval, or the maximum without checkpoints. */
    private Duration lostWork(MachineCapacity.Victim victim) {
        Submission job = victim.job().submission();
        var attempt = new JobAttempt(victim.job().id(), victim.allocation().attemptBase());
        Duration elapsed = state.snapshot().runtime().apply(attempt);
        Duration maxLost = job.checkpoints() ? job.checkpointInterval() : MAX_LOST_WORK;
        return elapsed.compareTo(maxLost) > 0 ? maxLost : elapsed;
    }
}
