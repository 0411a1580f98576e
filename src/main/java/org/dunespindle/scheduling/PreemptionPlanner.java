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

/** Chooses which lower tasks give way to a gang. */
final class PreemptionPlanner {
    /** What a fetch counts for, and how much of a task's work at most, when it is chosen who gives way. */
    private static final Duration FETCH_COST = Duration.ofSeconds(20);

    private static final Duration MOST_LOST = Duration.ofSeconds(120);
    /** What stopping any task costs, in milliseconds of work. */
    private static final long STOP_COST = 1000;

    private final PlanState state;

    /** A way for one member to find room on a machine. */
    private record Option(MachineCapacity machine, List<MachineCapacity.Victim> victims, long cost) {}

    PreemptionPlanner(PlanState state) {
        this.state = state;
    }

    /**
     * Priority decides both who gives way and who is planned first: were that not the same order, lower work would
     * take the freed room back at once, and the job would evict again and again.
     */
    static boolean mayEvict(JobRecord job, MachineCapacity.Victim victim) {
        return victim.job().submission().priority().compareTo(job.submission().priority()) < 0;
    }

    /** Makes room where lower tasks lose least by giving way; tells how many members still lack a place. */
    int makeRoom(JobRecord job, List<MachineCapacity> candidates, ZoneRules zones, int members) {
        var options = new PriorityQueue<Option>(Comparator.comparingLong(Option::cost)
                .thenComparing(o -> o.machine.host().id()));
        for (MachineCapacity machine : candidates) {
            if (machine.host().up() && zones.allows(machine.host())) {
                option(job, machine).ifPresent(options::add);
            }
        }
        int left = members;
        while (left > 0 && !options.isEmpty()) {
            Option chosen = options.poll();
            if (!zones.allows(chosen.machine.host())) {
                continue;
            }
            carryOut(job, chosen);
            zones.add(chosen.machine.host().zone());
            left--;
            option(job, chosen.machine).ifPresent(options::add);
        }
        return left;
    }

    private void carryOut(JobRecord job, Option chosen) {
        chosen.machine.promise(chosen.victims);
        chosen.victims.forEach(victim -> state.evict(victim, job));
        state.take(job.submission(), chosen.machine);
        state.waits(
                job,
                "waits for lower work to give way on " + chosen.machine.host().id());
    }

    /** How one member finds room on a machine; empty if no lower work there makes any. */
    private Optional<Option> option(JobRecord job, MachineCapacity machine) {
        if (!machine.canBeFreed()) {
            return Optional.empty();
        }
        Resources one = job.submission().perTask();
        Resources free = machine.freeSoon();
        var chosen = new ArrayList<MachineCapacity.Victim>(2);
        for (MachineCapacity.Victim victim : machine.victims()) {
            if (one.fitsIn(free)) {
                break;
            }
            if (mayEvict(job, victim)) {
                chosen.add(victim);
                free = free.plus(victim.size());
            }
        }
        return one.fitsIn(free)
                ? Optional.of(new Option(machine, chosen, cost(job, machine, chosen)))
                : Optional.empty();
    }

    private long cost(JobRecord job, MachineCapacity machine, List<MachineCapacity.Victim> chosen) {
        if (chosen.isEmpty()) {
            return -1; // tasks already being stopped cost nothing more; no second machine must be emptied beside them
        }
        long cost = machine.hasImage(job.submission().image()) ? 0 : FETCH_COST.toMillis();
        for (MachineCapacity.Victim victim : chosen) {
            cost += STOP_COST + lost(victim).toMillis();
        }
        return cost;
    }

    /** The work that stopping a task throws away: what it did since it started, or since it last saved. */
    private Duration lost(MachineCapacity.Victim victim) {
        Submission job = victim.job().submission();
        var started = new JobAttempt(victim.job().id(), victim.allocation().attemptBase());
        Duration done = state.snapshot().elapsed().apply(started);
        Duration kept = job.checkpoints() ? job.checkpointEvery() : MOST_LOST;
        return done.compareTo(kept) > 0 ? kept : done;
    }
}
