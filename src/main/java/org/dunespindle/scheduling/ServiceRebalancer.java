package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * Moves replicas off machines that are about to go, each only where room is found for it elsewhere, and gently off machines
 * that nothing but a few replicas keeps. A replica runs elsewhere only once its end here is confirmed.
 */
final class ServiceRebalancer {
    /** How long a replica that needs not move stays where it is. */
    private static final Duration STAYS = Duration.ofSeconds(300);
    /** Replicas on a machine that nothing else keeps, up to which it is emptied: each move is a moment without the replica. */
    private static final int FEW_REPLICAS = 1;
    /** What it counts against a machine that it holds another replica of the same service. */
    private static final double BESIDE_ANOTHER = 5;

    private final PlanState state;
    private final ZoneChooser zoneChooser;

    ServiceRebalancer(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** Chooses the replicas that move now. */
    void plan() {
        boolean mayEmpty = true;
        for (JobRecord job : state.snapshot().jobs()) {
            if (job.isOpen() && job.submission().isService()) {
                mayEmpty = move(job, mayEmpty);
            }
        }
    }

    /** Tells whether, after this job, a machine may still be emptied: one replica at a time. */
    private boolean move(JobRecord job, boolean mayEmpty) {
        boolean settled = mayEmpty
                && job.unplacedCount() == 0
                && job.allocations().stream().noneMatch(Allocation::stopping);
        boolean mayEmptyNext = mayEmpty;
        for (Allocation allocation : job.allocations()) {
            if (allocation.stopping()) {
                continue;
            }
            boolean departs = state.snapshot().departing().contains(allocation.machineId());
            if (!departs && !(settled && emptied(job, allocation))) {
                continue;
            }
            Optional<MachineCapacity> target = target(job, allocation, departs);
            if (target.isPresent()) {
                state.take(job.submission(), target.get());
                target.get().addReplica();
                state.move(new MachineCapacity.Victim(job, allocation));
                settled = false;
                mayEmptyNext &= departs;
            } else if (departs) {
                askForRoom(job, allocation);
            }
        }
        return mayEmptyNext;
    }

    /** Room for a replica that has to leave and finds none: on a machine that boots, or on one to be rented. */
    private void askForRoom(JobRecord job, Allocation leaving) {
        ZoneRules zones = zoneChooser.rulesWithout(job, leaving);
        for (MachineCapacity machine : state.candidates(job.submission())) {
            boolean boots = !machine.host().up();
            if (boots && machine.fits(job.submission().perTask()) && zones.allows(machine.host())) {
                state.keep(job.submission(), machine);
                return;
            }
        }
        state.lacks(job, 1, zones.only());
    }

    /** Whether an allocation is one of a few replicas that alone keep their machine, and has been for a while. */
    private boolean emptied(JobRecord job, Allocation allocation) {
        Optional<MachineCapacity> machine = state.machine(allocation.machineId());
        var started = new JobAttempt(job.id(), allocation.attemptBase());
        return machine.isPresent()
                && machine.get().onlyReplicas()
                && machine.get().replicas() <= FEW_REPLICAS
                && state.snapshot().elapsed().apply(started).compareTo(STAYS) > 0;
    }

    /** The best machine for a replica that leaves another, if any is worth it. */
    private Optional<MachineCapacity> target(JobRecord job, Allocation leaving, boolean departs) {
        Set<String> taken = placesWithout(job, leaving);
        ZoneRules zones = zoneChooser.rulesWithout(job, leaving);
        MachineCapacity best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (MachineCapacity machine : state.candidates(job.submission())) {
            boolean elsewhere = !machine.host().id().equals(leaving.machineId());
            boolean room = machine.bookable() && machine.fits(job.submission().perTask());
            boolean beside = taken.contains(machine.host().id());
            boolean worth = departs
                    || !beside
                            && keptAnyway(machine)
                            && machine.hasImage(job.submission().image());
            if (!elsewhere || !room || !worth || !zones.allows(machine.host())) {
                continue;
            }
            double score = PlanState.score(job.submission(), machine)
                    + ServicePlanner.startsSoon(job.submission(), machine)
                    - (beside ? BESIDE_ANOTHER : 0);
            if (score > bestScore) {
                best = machine;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private static Set<String> placesWithout(JobRecord job, Allocation leaving) {
        var places = new HashSet<String>();
        for (Allocation allocation : job.allocations()) {
            if (!allocation.equals(leaving)) {
                places.add(allocation.machineId());
            }
        }
        return places;
    }

    /** Whether a machine is not kept for a few replicas alone. */
    private static boolean keptAnyway(MachineCapacity machine) {
        boolean otherWork = machine.used() && !machine.onlyReplicas();
        return otherWork || machine.replicas() > FEW_REPLICAS;
    }
}
