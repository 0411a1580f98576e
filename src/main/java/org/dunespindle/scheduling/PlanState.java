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
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** A plan under construction: what is left of machines and of teams' limits, and what was decided so far. */
final class PlanState {
    /** Weights of what makes one machine better than another for a task. */
    private static final double UP = 8;

    private static final double IMAGE = 3;
    private static final double CHEAP = 2;
    /** What a fetch of the image that is under way already is worth, and what fetches of other images cost, which share the rate. */
    private static final double IMAGE_ON_ITS_WAY = 1;

    private static final double OTHER_FETCH = 1.5;
    private static final int MOST_OTHER_FETCHES = 2;

    private final ClusterSnapshot snapshot;
    private final List<MachineCapacity> machines = new ArrayList<>();
    private final Map<String, MachineCapacity> byId;
    private final TeamUsage use;
    private final List<Binding> bookings = new ArrayList<>();
    private final List<Eviction> evictions = new ArrayList<>();
    private final List<Eviction> moves = new ArrayList<>();
    private final List<Shortfall> shortfalls = new ArrayList<>();
    private final Map<String, String> reasons = new LinkedHashMap<>();
    private final Set<String> wanted = new HashSet<>();
    private final Set<String> gangHosts = new HashSet<>();
    /** What unplaced tasks would add to their team's use; bounds renting, but keeps no other job from being placed. */
    private final Map<String, Resources> pending = new HashMap<>();
    /** Tasks by job whose end is stored along with the job's next placement; they take no more of its record. */
    private final Map<String, Integer> endedOf = new HashMap<>();
    /** What a team's waiting gang needs of the limit, kept free of later work. */
    private final Map<String, Resources> reserved = new HashMap<>();

    /** Most jobs have no ended task, and looking one up costs more than asking for its job. */
    private final Set<String> jobsWithEnded = new HashSet<>();

    private final Map<Eligibility, List<MachineCapacity>> candidates = new HashMap<>();
    private final Map<ImageEligibility, List<MachineCapacity>> candidatesWithImage = new HashMap<>();
    /** Machines by the images that they have, worked out when first asked for. */
    private final Map<String, List<MachineCapacity>> byImage = new HashMap<>();

    /** Which machines a job may use. */
    private record Eligibility(boolean spot, Optional<String> zone, Optional<List<String>> types) {
        boolean includes(MachineSnapshot machine) {
            boolean kind = spot || !machine.spot();
            boolean place = zone.isEmpty() || zone.get().equals(machine.zone());
            return kind && place && (types.isEmpty() || types.get().contains(machine.type()));
        }
    }

    private record ImageEligibility(Eligibility machines, String image) {}

    PlanState(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
        this.use = snapshot.projection().use();
        snapshot.ended().forEach(ended -> jobsWithEnded.add(ended.job()));
        byId = new HashMap<>(snapshot.machines().size() * 2);
        for (MachineSnapshot host : snapshot.machines()) {
            var machine = new MachineCapacity(host);
            machines.add(machine);
            byId.put(host.id(), machine);
        }
        snapshot.jobs().forEach(this::occupy);
        snapshot.projection().overtaken().forEach(this::occupyHidden);
    }

    /** What others stored takes its room even where this controller's own proposal for the job does not know of it. */
    private void occupyHidden(ProjectedJob job) {
        for (Allocation allocation : job.hidden()) {
            MachineCapacity machine = byId.get(allocation.machineId());
            if (machine != null && !ended(job.stored(), allocation)) {
                machine.occupy(job.stored(), allocation);
            }
        }
    }

    private void occupy(JobRecord job) {
        for (Allocation allocation : job.allocations()) {
            MachineCapacity machine = byId.get(allocation.machineId());
            if (ended(job, allocation)) {
                endedOf.merge(job.id(), 1, Integer::sum);
            } else if (machine != null) {
                machine.occupy(job, allocation);
            }
        }
    }

    private boolean ended(JobRecord job, Allocation allocation) {
        return jobsWithEnded.contains(job.id())
                && snapshot.ended().contains(new TaskAttempt(job.id(), allocation.task(), allocation.attemptBase()));
    }

    /** A machine that the plan knows of. */
    Optional<MachineCapacity> machine(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    ClusterSnapshot snapshot() {
        return snapshot;
    }

    Plan plan() {
        return new Plan(bookings, evictions, shortfalls, reasons, wanted, gangHosts, moves);
    }

    /** How many of a job's ended tasks make place in its record. */
    int endedOf(JobRecord job) {
        return endedOf.getOrDefault(job.id(), 0);
    }

    boolean teamAllows(Submission job, int tasks) {
        return withinLimit(job, Resources.NONE, tasks);
    }

    boolean withinLimit(Submission job, Resources besides, int tasks) {
        Settings.Team team = snapshot.teams().get(job.team());
        Resources before = use.of(job.team()).plus(besides);
        return team != null && team.withinLimit(before.plus(job.perTask().times(tasks)));
    }

    /** How many more tasks the team's limit leaves room for. */
    int allowed(Submission job, Resources besides, int most) {
        int low = 0;
        int high = most;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (withinLimit(job, besides, middle)) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }

    /** What a team's waiting gang needs of the limit. */
    Resources reserved(String team) {
        return reserved.getOrDefault(team, Resources.NONE);
    }

    void reserve(String team, Resources ask) {
        reserved.put(team, ask);
    }

    /** What the team's unplaced tasks would add to its use. */
    Resources pending(String team) {
        return pending.getOrDefault(team, Resources.NONE);
    }

    void addPending(String team, Resources ask) {
        pending.merge(team, ask, Resources::plus);
    }

    /** Takes room for a task, and its part of the team's limit. */
    void take(Submission job, MachineCapacity machine) {
        machine.take(job.perTask());
        machine.plan();
        machine.needsImage(job.image());
        use.add(job, 1);
        wanted.add(machine.host().id());
        if (job.isGang()) {
            gangHosts.add(machine.host().id());
        }
    }

    /** Keeps room for a task that is not placed now. */
    void keep(Submission job, MachineCapacity machine) {
        machine.take(job.perTask());
        machine.plan();
        wanted.add(machine.host().id());
    }

    void book(JobRecord job, Map<Integer, String> places) {
        if (!places.isEmpty()) {
            bookings.add(new Binding(job, places));
        }
    }

    void evict(MachineCapacity.Victim victim, JobRecord forJob) {
        evictions.add(new Eviction(victim.job(), victim.allocation(), forJob.id()));
    }

    /** Notes that a replica is to run elsewhere. */
    void move(MachineCapacity.Victim replica) {
        moves.add(
                new Eviction(replica.job(), replica.allocation(), replica.job().id()));
    }

    void lacks(JobRecord job, int tasks, Optional<String> zone) {
        shortfalls.add(new Shortfall(job, tasks, zone));
    }

    /** Notes why a job waits; what was noted first stands. */
    void waits(JobRecord job, String reason) {
        reasons.putIfAbsent(job.id(), reason);
    }

    /** Notes why a job waits in place of what was noted before. */
    void waitsForNow(JobRecord job, String reason) {
        reasons.put(job.id(), reason);
    }

    /** Machines that the job may use, wherever its zone rules lead it. Worked out once for all jobs that ask alike: most do. */
    List<MachineCapacity> candidates(Submission job) {
        var asked = new Eligibility(job.spot(), job.zone(), job.types());
        List<MachineCapacity> known = candidates.get(asked);
        if (known == null) {
            known = eligible(machines, asked);
            candidates.put(asked, known);
        }
        return known;
    }

    private static List<MachineCapacity> eligible(List<MachineCapacity> machines, Eligibility asked) {
        var list = new ArrayList<MachineCapacity>();
        for (MachineCapacity machine : machines) {
            if (asked.includes(machine.host())) {
                list.add(machine);
            }
        }
        return list;
    }

    /** Those of the machines that the job may use which have its image. */
    List<MachineCapacity> candidatesWithImage(Submission job) {
        var key = new ImageEligibility(new Eligibility(job.spot(), job.zone(), job.types()), job.image());
        List<MachineCapacity> known = candidatesWithImage.get(key);
        if (known == null) {
            known = eligible(byImage().getOrDefault(job.image(), List.of()), key.machines);
            candidatesWithImage.put(key, known);
        }
        return known;
    }

    private Map<String, List<MachineCapacity>> byImage() {
        if (byImage.isEmpty()) {
            for (MachineCapacity machine : machines) {
                for (String image : machine.host().images()) {
                    byImage.computeIfAbsent(image, key -> new ArrayList<>()).add(machine);
                }
            }
        }
        return byImage;
    }

    /** Of some machines those with room, the best first. */
    List<MachineCapacity> roomy(
            Submission job, Collection<MachineCapacity> candidates, ZoneRules zones, boolean upOnly) {
        var list = new ArrayList<MachineCapacity>();
        for (MachineCapacity machine : candidates) {
            boolean ready = !upOnly || machine.host().up();
            if (ready && machine.fits(job.perTask()) && zones.allows(machine.host())) {
                machine.score(score(job, machine));
                list.add(machine);
            }
        }
        list.sort((a, b) -> Double.compare(b.score(), a.score()));
        return list;
    }

    /** Up before booting, a fetched image before a cheap kind, cheap kinds before dear ones, few fetches before many, full before empty. */
    static double score(Submission job, MachineCapacity machine) {
        MachineSnapshot host = machine.host();
        Resources size = host.size();
        double fill = size.gpus() > 0
                ? 1 - machine.free().gpus() / size.gpus()
                : 1 - machine.free().cpus() / Math.max(1e-9, size.cpus());
        double ready = host.up() ? UP : 0;
        double cheap = host.spot() && job.spot() ? CHEAP : 0;
        return ready + cheap + imageScore(job.image(), machine) + fill;
    }

    private static double imageScore(String image, MachineCapacity machine) {
        if (machine.hasImage(image)) {
            return IMAGE;
        }
        Set<String> fetches = machine.fetches();
        boolean onItsWay = fetches.contains(image);
        int others = fetches.size() - (onItsWay ? 1 : 0);
        return (onItsWay ? IMAGE_ON_ITS_WAY : 0) - OTHER_FETCH * Math.min(MOST_OTHER_FETCHES, others);
    }

    /** How many of a job's tasks are in each zone. */
    Map<String, Integer> zonesTaken(JobRecord job) {
        var taken = new HashMap<String, Integer>();
        for (Allocation allocation : job.allocations()) {
            MachinePool pool = snapshot.pools().get(allocation.machineId());
            if (pool != null) {
                taken.merge(pool.zone(), 1, Integer::sum);
            }
        }
        return taken;
    }
}
