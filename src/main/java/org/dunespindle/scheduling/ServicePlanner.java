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
 * Places the replicas of services. They run for long and are small: those of one service go to different machines and, where
 * there is a choice, zones, so that a loss takes few of them; those of different services share machines, since a machine
 * that holds a single replica is paid for as a whole.
 */
final class ServicePlanner {
    /**
     * What the service's replicas on a machine count against it, by the square of their number: a second one may go where the
     * image is, for a fetch takes longer than all else until it runs; a third one goes elsewhere.
     */
    private static final double SAME_SERVICE = 5;
    /** What the image counts beyond what it does for other work. */
    private static final double IMAGE_THERE = 4;
    /** What it counts against a machine that still fetches for others, which share the rate. */
    private static final double FETCHES = 2;
    /** What each of the service's replicas in a zone counts against machines there. */
    private static final double SAME_ZONE = 2;
    /** What replicas of other services count for a machine, while it does not hold many. */
    private static final double OTHER_SERVICES = 2;
    /** A machine's loss should not take more replicas than this where others can be shared. */
    private static final int MANY_REPLICAS = 6;
    /** What it counts against a machine if a task that asks for accelerators no longer fits beside the replica. */
    private static final double DISPLACES = 4;
    /** What it counts against a machine that nothing else keeps. */
    private static final double UNUSED = 1.5;

    private final PlanState state;
    private final ZoneChooser zoneChooser;
    private final PreemptionPlanner preemption;
    private final List<Resources> acceleratorAsks;

    ServicePlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
        this.preemption = new PreemptionPlanner(state);
        this.acceleratorAsks = acceleratorAsks(state.snapshot().jobs());
    }

    private static List<Resources> acceleratorAsks(List<JobRecord> jobs) {
        var asks = new HashSet<Resources>();
        for (JobRecord job : jobs) {
            if (job.isOpen() && job.submission().perTask().gpus() > 0) {
                asks.add(job.submission().perTask());
            }
        }
        return List.copyOf(asks);
    }

    /** A service while its replicas are placed. */
    private final class Progress {
        final JobRecord record;
        final Submission job;
        final ZoneRules zones;
        final Map<String, Integer> perZone;
        final Map<String, Integer> perMachine = new HashMap<>();
        final Map<Integer, String> places = new LinkedHashMap<>();
        final Iterator<Integer> unplaced;
        int left;

        Progress(JobRecord record) {
            this.record = record;
            this.job = record.submission();
            this.zones = zoneChooser.rules(record);
            this.perZone = state.zonesTaken(record);
            int underWay = record.allocations().size();
            // One that fails everywhere has one replica tried at a time beside those that run.
            int room = Math.max(1, state.snapshot().mostTasks().applyAsInt(record) - underWay);
            this.left = state.allowed(job, Resources.NONE, Math.min(room, record.unplacedCount()));
            this.unplaced = record.unplaced(left).iterator();
            for (Allocation allocation : record.allocations()) {
                perMachine.merge(allocation.machineId(), 1, Integer::sum);
            }
        }

        void take(MachineCapacity machine) {
            state.take(job, machine);
            machine.addReplica();
            zones.add(machine.host().zone());
            perZone.merge(machine.host().zone(), 1, Integer::sum);
            perMachine.merge(machine.host().id(), 1, Integer::sum);
            left--;
        }
    }

    /** Places what can be placed of a service; lower work gives way where there is no room, and machines are asked for. */
    void place(JobRecord job) {
        var service = new Progress(job);
        int missing = job.unplacedCount();
        if (service.left < missing) {
            state.waits(job, "its team's limit is used up, or its replicas fail and are tried one at a time");
        }
        List<MachineCapacity> candidates = state.candidates(service.job);
        List<MachineCapacity> commanded =
                candidates.stream().filter(machine -> machine.host().owned()).toList();
        boolean others = state.snapshot().leftAlone().contains(job.id());
        // Only what is commanded here can be booked here; the rest is looked at for what is missing in all.
        fill(service, commanded, true);
        fill(service, candidates, true);
        if (service.left > 0 && !others) {
            int before = service.left;
            service.left = preemption.makeRoom(job, commanded, service.zones, service.left);
            if (service.left < before) {
                state.waits(job, "waits for lower work to give way");
            }
        }
        if (service.left > 0) {
            fill(service, candidates, false);
        }
        if (service.left > 0) {
            state.waits(job, "no room for " + service.left + " of its replicas on machines they may use");
            state.lacks(job, service.left, service.zones.only());
            state.addPending(service.job.team(), service.job.perTask().times(service.left));
        }
        if (!others) {
            state.book(job, service.places);
        }
    }

    private void fill(Progress service, List<MachineCapacity> candidates, boolean upOnly) {
        while (service.left > 0) {
            Optional<MachineCapacity> best = best(service, candidates, upOnly);
            if (best.isEmpty()) {
                return;
            }
            MachineCapacity machine = best.get();
            service.take(machine);
            if (machine.bookable()) {
                service.places.put(service.unplaced.next(), machine.host().id());
            } else {
                state.waits(service.record, "waits for machines that are booting");
            }
        }
    }

    private Optional<MachineCapacity> best(Progress service, List<MachineCapacity> candidates, boolean upOnly) {
        MachineCapacity best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (MachineCapacity machine : candidates) {
            boolean ready = machine.bookable() || !upOnly;
            if (ready && machine.fits(service.job.perTask()) && service.zones.allows(machine.host())) {
                double score = score(service, machine);
                if (score > bestScore) {
                    best = machine;
                    bestScore = score;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private double score(Progress service, MachineCapacity machine) {
        double score = PlanState.score(service.job, machine);
        int here = service.perMachine.getOrDefault(machine.host().id(), 0);
        score -= SAME_SERVICE * here * here;
        score += startsSoon(service.job, machine);
        score -= SAME_ZONE * service.perZone.getOrDefault(machine.host().zone(), 0);
        if (machine.replicas() > 0 && machine.replicas() < MANY_REPLICAS) {
            score += OTHER_SERVICES;
        }
        if (machine.replicas() == 0 && !machine.used()) {
            score -= UNUSED;
        }
        return displaces(service.job.perTask(), machine) ? score - DISPLACES : score;
    }

    /** How soon a replica would run on a machine, as far as fetches decide it. */
    static double startsSoon(Submission job, MachineCapacity machine) {
        if (machine.hasImage(job.image())) {
            return IMAGE_THERE;
        }
        return machine.fetches().isEmpty() ? 0 : -FETCHES;
    }

    private boolean displaces(Resources replica, MachineCapacity machine) {
        Resources free = machine.free();
        Resources after = free.minus(replica);
        for (Resources ask : acceleratorAsks) {
            if (ask.fitsIn(free) && !ask.fitsIn(after)) {
                return true;
            }
        }
        return false;
    }
}
