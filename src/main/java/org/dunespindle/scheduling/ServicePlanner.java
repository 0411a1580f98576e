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
 * Places the replicas of services, which are small and long-running. Replicas of one service are spread over machines and, where possible, over
 * zones, so that a failure affects few of them. Replicas of different services share machines, since a machine with a single replica costs as
 * much as a full one.
 */
final class ServicePlanner {
    /**
     * Penalty for other replicas of the same service on the machine, multiplied by the square of their number. A second replica may still be
     * placed on a machine that has the image, because a fetch takes longer than the rest of the start; a third one is placed elsewhere.
     */
    private static final double SAME_SERVICE_PENALTY = 5;
    /** Score of a machine that has the image, in addition to the score that applies to all jobs. */
    private static final double IMAGE_SCORE = 4;
    /** Penalty for a machine with image fetches in progress, which share its transfer rate. */
    private static final double PENDING_FETCHES_PENALTY = 2;
    /** Penalty for each replica of the service in the machine's zone. */
    private static final double SAME_ZONE_PENALTY = 2;
    /** Score of a machine with replicas of any service, if fewer than the maximum below. */
    private static final double SHARED_MACHINE_SCORE = 2;
    /** A machine with this many replicas is no longer preferred, because its failure would affect too many of them. */
    private static final int MAX_SHARED_REPLICAS = 6;
    /** Penalty for a machine on which an accelerator task fits without the replica but not beside it. */
    private static final double ACCELERATOR_DISPLACEMENT_PENALTY = 4;
    /** Penalty for a machine that is otherwise unused and could be terminated. */
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

    /** Placement progress of one service. */
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
            // For a crash-looping service, one replica at a time is started in addition to the running ones.
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

    /** Places as many replicas of a service as possible, preempts lower-priority tasks for others, and requests machines for the rest. */
    void place(JobRecord job) {
        var service = new ServiceProgress(job);
        if (service.remaining < job.unplacedCount()) {
            state.addWaitReason(job, "its team's limit is used up, or its replicas fail and are retried one at a time");
        }
        List<MachineCapacity> candidates = state.machines().candidates(service.submission);
        List<MachineCapacity> owned = candidates.stream()
                .filter(machine -> machine.snapshot().owned())
                .toList();
        boolean deferred = state.snapshot().deferredJobs().contains(job.id());
        // Tasks can be bound only to owned machines; the others show whether the cluster lacks capacity.
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
            state.addWaitReason(service.job, "waits for lower-priority tasks to be preempted");
        }
    }

    private void requestMachines(ServiceProgress service) {
        int missing = service.remaining;
        Submission submission = service.submission;
        state.addWaitReason(
                service.job, "no free capacity for " + missing + " of its replicas on machines that they may use");
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
            score += SHARED_MACHINE_SCORE;
        }
        if (machine.replicas() == 0 && !machine.isUsed()) {
            score -= UNUSED_MACHINE_PENALTY;
        }
        return displacesAcceleratorTask(service.submission.perTask(), machine)
                ? score - ACCELERATOR_DISPLACEMENT_PENALTY
                : score;
    }

    /** Scores how soon a replica would run on a machine, considering only image fetches. */
    static double startupScore(Submission submission, MachineCapacity machine) {
        if (machine.hasImage(submission.image())) {
            return IMAGE_SCORE;
        }
        return machine.pendingFetches().isEmpty() ? 0 : -PENDING_FETCHES_PENALTY;
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
