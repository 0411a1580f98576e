package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * Moves service replicas off machines that are draining or about to be terminated, each only if another machine has capacity for it; and, one
 * at a time, off machines that could be terminated if they held no replicas. The replacement starts only after the end of the old replica is
 * confirmed.
 */
final class ServiceRebalancer {
    /** A replica is moved for consolidation only after it has run for this time. */
    private static final Duration MIN_RUNTIME_BEFORE_CONSOLIDATION = Duration.ofSeconds(300);
    /** A machine with more replicas is not emptied, since each move interrupts a replica. */
    private static final int MAX_REPLICAS_TO_CONSOLIDATE = 1;
    /** Penalty for a machine that holds another replica of the same service. */
    private static final double SAME_SERVICE_PENALTY = 5;

    private final PlanState state;
    private final ZoneChooser zoneChooser;

    ServiceRebalancer(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** Decides which replicas are moved now. */
    void plan() {
        boolean mayConsolidate = true;
        for (JobRecord job : state.snapshot().jobs()) {
            if (job.isOpen() && job.submission().isService()) {
                mayConsolidate = moveReplicas(job, mayConsolidate);
            }
        }
    }

    /** Moves replicas of one service; returns whether a further replica may be moved for consolidation, of which each plan moves at most one. */
    private boolean moveReplicas(JobRecord job, boolean mayConsolidate) {
        boolean settled = mayConsolidate
                && job.unplacedCount() == 0
                && job.allocations().stream().noneMatch(Allocation::stopping);
        boolean mayStillConsolidate = mayConsolidate;
        for (Allocation allocation : job.allocations()) {
            if (allocation.stopping()) {
                continue;
            }
            boolean mustMove = state.snapshot().drainingMachines().contains(allocation.machineId());
            if (!mustMove && !(settled && isConsolidatable(job, allocation))) {
                continue;
            }
            Optional<MachineCapacity> target = target(job, allocation, mustMove);
            if (target.isPresent()) {
                state.allocate(job.submission(), target.get());
                target.get().addReplica();
                state.move(new MachineCapacity.Victim(job, allocation));
                settled = false;
                mayStillConsolidate &= mustMove;
            } else if (mustMove) {
                requestCapacity(job, allocation);
            }
        }
        return mayStillConsolidate;
    }

    /** Reserves capacity on a booting machine for a replica that must be moved, or requests a machine. */
    private void requestCapacity(JobRecord job, Allocation leaving) {
        ZoneRules zones = zoneChooser.rulesWithout(job, leaving);
        for (MachineCapacity machine : state.machines().candidates(job.submission())) {
            boolean booting = !machine.snapshot().up();
            if (booting && machine.hasCapacity(job.submission().perTask()) && zones.allows(machine.snapshot())) {
                state.reserveCapacity(job.submission(), machine);
                return;
            }
        }
        state.addShortfall(job, 1, zones.requiredZone());
    }

    /** Whether a replica has run long enough, and its machine could be terminated without the few replicas on it. */
    private boolean isConsolidatable(JobRecord job, Allocation allocation) {
        Optional<MachineCapacity> machine = state.machines().machine(allocation.machineId());
        var attempt = new JobAttempt(job.id(), allocation.attemptBase());
        return machine.isPresent()
                && machine.get().holdsOnlyReplicas()
                && machine.get().replicas() <= MAX_REPLICAS_TO_CONSOLIDATE
                && state.snapshot().runtime().apply(attempt).compareTo(MIN_RUNTIME_BEFORE_CONSOLIDATION) > 0;
    }

    /** The best machine to move a replica to; empty if no machine is suitable or worth the move. */
    private Optional<MachineCapacity> target(JobRecord job, Allocation leaving, boolean mustMove) {
        Submission submission = job.submission();
        Set<String> ownMachines = machinesOfOthers(job, leaving);
        ZoneRules zones = zoneChooser.rulesWithout(job, leaving);
        return MachineScore.best(
                state.machines().candidates(submission),
                machine -> !machine.snapshot().id().equals(leaving.machineId())
                        && machine.schedulable()
                        && machine.hasCapacity(submission.perTask())
                        && (mustMove || isWorthMoving(submission, machine, ownMachines))
                        && zones.allows(machine.snapshot()),
                machine -> score(submission, machine, ownMachines));
    }

    private static boolean isWorthMoving(Submission submission, MachineCapacity machine, Set<String> ownMachines) {
        return !ownMachines.contains(machine.snapshot().id())
                && isKeptForOtherWork(machine)
                && machine.hasImage(submission.image());
    }

    private static double score(Submission submission, MachineCapacity machine, Set<String> ownMachines) {
        boolean besideOwnReplica = ownMachines.contains(machine.snapshot().id());
        return MachineScore.of(submission, machine)
                + ServicePlanner.startupScore(submission, machine)
                - (besideOwnReplica ? SAME_SERVICE_PENALTY : 0);
    }

    /** The machines of a service's other replicas. */
    private static Set<String> machinesOfOthers(JobRecord job, Allocation leaving) {
        var machines = new HashSet<String>();
        for (Allocation allocation : job.allocations()) {
            if (!allocation.equals(leaving)) {
                machines.add(allocation.machineId());
            }
        }
        return machines;
    }

    /** Whether a machine will be kept anyway, for other jobs or for more replicas than would be consolidated. */
    private static boolean isKeptForOtherWork(MachineCapacity machine) {
        boolean otherWork = machine.isUsed() && !machine.holdsOnlyReplicas();
        return otherWork || machine.replicas() > MAX_REPLICAS_TO_CONSOLIDATE;
    }
}
