package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * Places the replicas of services, which are small and run for long. Those of one service go to different machines and, where there is a
 * choice, to different zones, so that a failure affects few of them. Those of different services share machines, since a machine that holds a
 * single replica costs as much as a full one.
 */
final class ServicePlanner {
    /**
     * For the service's own replicas on the machine, by the square of their number: a second one may go where the image is, because a
     * fetch takes longer than the rest of a start; a third one goes elsewhere.
     */
    private static final double SAME_SERVICE_PENALTY = 5;
    /** For a machine that has the image, in addition to the score that other work gets. */
    private static final double IMAGE_SCORE = 4;
    /** For a machine with fetches in progress, which share its rate. */
    private static final double OTHER_FETCHES_PENALTY = 2;
    /** For each of the service's replicas in the machine's zone. */
    private static final double SAME_ZONE_PENALTY = 2;
    /** For a machine that holds replicas of other services, but not too many. */
    private static final double OTHER_SERVICES_SCORE = 2;
    /** A machine with so many replicas is not preferred any more: its failure would affect too many. */
    private static final int MAX_SHARED_REPLICAS = 6;
    /** For a machine on which a task that requests accelerators would no longer fit beside the replica. */
    private static final double ACCELERATOR_DISPLACEMENT_PENALTY = 4;
    /** For a machine that would otherwise be unused and could be terminated. */
    private static final double UNUSED_MACHINE_PENALTY = 1.5;

    private final PlanState state;
    private final ZoneChooser zoneChooser;
    private final PreemptionPlanner preemption;
    private final List<Resources> acceleratorRequests;

    ServicePlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
        this.preemption = new PreemptionPlanner(state);
        this.acceleratorRequests = acceleratorRequests(state.snapshot().jobs());
    }

    private static List<Resources> acceleratorRequests(List<JobRecord> jobs) {
        var requests = new HashSet<Resources>();
        for (JobRecord job : jobs) {
            if (job.isOpen() && job.submission().perTask().gpus() > 0) {
                requests.add(job.submission().perTask());
            }
        }
        return List.copyOf(requests);
    }

    /** The state of one service while its replicas are placed. */
    private final class ServiceProgress {
        final JobRecord job;
        final Submission submission;
        final ZoneRules zones;
        final Map<String, Integer> perZone;
        final Map<String, Integer> perMachine = new HashMap<>();
        final Map<Integer, String> places = new LinkedHashMap<>();
        final Iterator<Integer> unplaced;
        int remaining;

        ServiceProgress(JobRecord job) {
            this.job = job;
            this.submission = job.submission();
            this.zones = zoneChooser.rules(job);
            this.perZone = state.tasksPerZone(job);
            int allocated = job.allocations().size();
            // A crash-looping service has one replica at a time started in addition to those that run.
            int maxNew = Math.max(1, state.snapshot().maxAllocatedTasks().applyAsInt(job) - allocated);
            this.remaining = state.quota().maxTasks(submission, Resources.NONE, Math.min(maxNew, job.unplacedCount()));
            this.unplaced = job.unplaced(remaining).iterator();
            for (Allocation allocation : job.allocations()) {
                perMachine.merge(allocation.machineId(), 1, Integer::sum);
            }
        }

        void allocate(MachineCapacity machine) {
            state.allocate(submission, machine);
            machine.addReplica();
            zones.addTask(machine.snapshot().zone());
            perZone.merge(machine.snapshot().zone(), 1, Integer::sum);
            perMachine.merge(machine.snapshot().id(), 1, Integer::sum);
            remaining--;
        }
    }

    /** Places what can be placed of a service, preempts lower work where capacity is missing, and requests machines for the rest. */
    void place(JobRecord job) {
        var service = new ServiceProgress(job);
        if (service.remaining < job.unplacedCount()) {
            state.addWaitReason(job, "its team's limit is used up, or its replicas fail and are tried one at a time");
        }
        List<MachineCapacity> candidates = state.machines().candidates(service.submission);
        List<MachineCapacity> owned = candidates.stream()
                .filter(machine -> machine.snapshot().owned())
                .toList();
        boolean deferred = state.snapshot().deferredJobs().contains(job.id());
        // Tasks can be bound to owned machines only; the others show whether capacity is missing in the cluster.
        fill(service, owned, true);
        fill(service, candidates, true);
        if (service.remaining > 0 && !deferred) {
            preempt(service, owned);
        }
        if (service.remaining > 0) {
            fill(service, candidates, false);
        }
        if (service.remaining > 0) {
            requestMachines(service);
        }
        if (!deferred) {
            state.bind(job, service.places);
        }
    }

    private void preempt(ServiceProgress service, List<MachineCapacity> owned) {
        int before = service.remaining;
        service.remaining = preemption.preemptFor(service.job, owned, service.zones, before);
        if (service.remaining < before) {
            state.addWaitReason(service.job, "waits for lower work to give way");
        }
    }

    private void requestMachines(ServiceProgress service) {
        int missing = service.remaining;
        Submission submission = service.submission;
        state.addWaitReason(service.job, "no room for " + missing + " of its replicas on machines they may use");
        state.addShortfall(service.job, missing, service.zones.requiredZone());
        state.quota().addUnplacedUsage(submission.team(), submission.perTask().times(missing));
    }

    private void fill(ServiceProgress service, List<MachineCapacity> candidates, boolean upOnly) {
        while (service.remaining > 0) {
            Optional<MachineCapacity> best = best(service, candidates, upOnly);
            if (best.isEmpty()) {
                return;
            }
            MachineCapacity machine = best.get();
            service.allocate(machine);
            if (machine.schedulable()) {
                service.places.put(service.unplaced.next(), machine.snapshot().id());
            } else {
                state.addWaitReason(service.job, "waits for machines that are booting");
            }
        }
    }

    private Optional<MachineCapacity> best(ServiceProgress service, List<MachineCapacity> candidates, boolean upOnly) {
        return MachineScore.best(
                candidates,
                machine -> (machine.schedulable() || !upOnly)
                        && machine.hasCapacity(service.submission.perTask())
                        && service.zones.allows(machine.snapshot()),
                machine -> score(service, machine));
    }

    private double score(ServiceProgress service, MachineCapacity machine) {
        double score = MachineScore.of(service.submission, machine);
        int ownReplicas = service.perMachine.getOrDefault(machine.snapshot().id(), 0);
        score -= SAME_SERVICE_PENALTY * ownReplicas * ownReplicas;
        score += startupScore(service.submission, machine);
        score -= SAME_ZONE_PENALTY
                * service.perZone.getOrDefault(machine.snapshot().zone(), 0);
        if (machine.replicas() > 0 && machine.replicas() < MAX_SHARED_REPLICAS) {
            score += OTHER_SERVICES_SCORE;
        }
        if (machine.replicas() == 0 && !machine.isUsed()) {
            score -= UNUSED_MACHINE_PENALTY;
        }
        return displacesAcceleratorTask(service.submission.perTask(), machine)
                ? score - ACCELERATOR_DISPLACEMENT_PENALTY
                : score;
    }

    /** Scores how soon a replica would run on a machine, as far as image fetches decide it. */
    static double startupScore(Submission submission, MachineCapacity machine) {
        if (machine.hasImage(submission.image())) {
            return IMAGE_SCORE;
        }
        return machine.pendingFetches().isEmpty() ? 0 : -OTHER_FETCHES_PENALTY;
    }

    private boolean displacesAcceleratorTask(Resources replica, MachineCapacity machine) {
        Resources free = machine.free();
        Resources after = free.minus(replica);
        for (Resources request : acceleratorRequests) {
            if (request.fitsIn(free) && !request.fitsIn(after)) {
                return true;
            }
        }
        return false;
    }
}
