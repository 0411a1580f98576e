package org.dunespindle.federation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.Binding;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.MachineSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.TaskAttempt;
import org.dunespindle.scheduling.TeamUsage;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * The capacity that a plan leaves in a cell: for each priority, the resources that are free or preemptible once the plan's bindings
 * are placed. A pure computation, done once for each plan; used for capacity hints to other cells and for deciding on their offers.
 */
public final class CapacitySurvey {
    /** An array may start once capacity for this fraction of its tasks (one in four) is available. */
    private static final int ARRAY_START_DIVISOR = 4;

    private final ClusterSnapshot snapshot;
    private final List<MachineAvailability> machines = new ArrayList<>();
    private final TeamUsage usage;
    private final List<JobRecord> unplacedJobs = new ArrayList<>();
    /** The pools that can be rented from, as far as known: those that the cloud did not refuse recently. */
    private final Map<MachinePool, MachineType> rentable = new LinkedHashMap<>();

    private static final class MachineAvailability {
        final MachineSnapshot machineSnapshot;
        Resources free;
        final Map<Priority, Resources> preemptibleByPriority = new HashMap<>();

        MachineAvailability(MachineSnapshot machine) {
            this.machineSnapshot = machine;
            this.free = machine.capacity();
        }

        /** The free and preemptible resources: preemption depends on priority alone, and only tasks of gangs are exempt from it. */
        Resources availableFor(Priority priority) {
            Resources sum = free;
            for (Map.Entry<Priority, Resources> held : preemptibleByPriority.entrySet()) {
                if (held.getKey().compareTo(priority) < 0) {
                    sum = sum.plus(held.getValue());
                }
            }
            return sum;
        }
    }

    /** Computes the capacity that the leader's plan leaves, given the machine types that the cloud rents out. */
    public CapacitySurvey(ClusterSnapshot snapshot, Plan plan, List<MachineType> types) {
        this.snapshot = snapshot;
        this.usage = snapshot.projection().usage();
        var byId = new HashMap<String, MachineAvailability>();
        for (MachineSnapshot machineSnapshot : snapshot.machines()) {
            var machine = new MachineAvailability(machineSnapshot);
            machines.add(machine);
            byId.put(machineSnapshot.id(), machine);
        }
        types.forEach(this::addRentablePools);
        snapshot.jobs().forEach(job -> addAllocations(job, job.allocations(), byId));
        snapshot.projection()
                .withUnprojectedAllocations()
                .forEach(job -> addAllocations(job.stored(), job.unprojectedAllocations(), byId));
        plan.bindings().forEach(binding -> addBinding(binding, byId));
        var present = new HashMap<String, JobRecord>();
        snapshot.jobs().forEach(job -> present.put(job.id(), job));
        plan.shortfalls().stream()
                .map(shortfall -> present.get(shortfall.job().id()))
                .filter(job -> job != null && job.isOpen())
                .forEach(unplacedJobs::add);
    }

    private void addRentablePools(MachineType type) {
        for (String zone : type.zones()) {
            for (boolean spot : new boolean[] {false, true}) {
                var pool = new MachinePool(type.name(), zone, spot);
                if (!snapshot.refusedPools().contains(pool)) {
                    rentable.put(pool, type);
                }
            }
        }
    }

    private void addAllocations(JobRecord job, List<Allocation> allocations, Map<String, MachineAvailability> byId) {
        for (Allocation allocation : allocations) {
            MachineAvailability machine = byId.get(allocation.machineId());
            boolean ended = snapshot.endedTasks()
                    .contains(new TaskAttempt(job.id(), allocation.task(), allocation.attemptBase()));
            if (machine != null && !ended) {
                allocate(machine, job, !job.submission().isGang());
            }
        }
    }

    private void addBinding(Binding binding, Map<String, MachineAvailability> byId) {
        for (String machineId : binding.machineByTask().values()) {
            MachineAvailability machine = byId.get(machineId);
            if (machine != null) {
                allocate(machine, binding.job(), false);
            }
        }
    }

    private static void allocate(MachineAvailability machine, JobRecord job, boolean preemptible) {
        Resources perTask = job.submission().perTask();
        machine.free = machine.free.minus(perTask);
        if (preemptible) {
            machine.preemptibleByPriority.merge(job.submission().priority(), perTask, Resources::plus);
        }
    }

    /** The open jobs, both the cell's own and those accepted from other cells, that the plan could not place. */
    public List<JobRecord> unplacedJobs() {
        return unplacedJobs;
    }

    /** Whether a job of at least this priority already waits for machines that work of this kind could use. */
    public boolean hasWaitingJob(ResourceKind kind, Priority priority) {
        return unplacedJobs.stream()
                .anyMatch(job -> job.submission().priority().compareTo(priority) >= 0
                        && ResourceKind.of(job.submission()).overlaps(kind));
    }

    /** Whether a job fits into the remaining capacity and its team's limit. */
    public boolean canPlace(Submission job) {
        int required = job.isGang() ? job.tasks() : Math.max(1, job.tasks() / ARRAY_START_DIVISOR);
        Settings.Team team = snapshot.teams().get(job.team());
        Resources before = usage.of(job.team());
        if (team == null || !team.withinLimit(before.plus(job.perTask().times(job.isGang() ? required : 1)))) {
            return false;
        }
        Map<String, Integer> byZone = tasksByZone(job);
        if (job.sameZone()) {
            return byZone.values().stream().anyMatch(tasks -> tasks >= required);
        }
        int maxPerZone = job.spread() ? (job.tasks() + 1) / 2 : job.tasks();
        return byZone.values().stream()
                        .mapToInt(tasks -> Math.min(tasks, maxPerZone))
                        .sum()
                >= required;
    }

    private Map<String, Integer> tasksByZone(Submission job) {
        var byZone = new TreeMap<String, Integer>();
        for (MachineAvailability machine : machines) {
            MachineSnapshot machineSnapshot = machine.machineSnapshot;
            if (isUsable(
                    job, new MachinePool(machineSnapshot.type(), machineSnapshot.zone(), machineSnapshot.spot()))) {
                byZone.merge(
                        machineSnapshot.zone(), countFitting(job, machine.availableFor(job.priority())), Integer::sum);
            }
        }
        rentable.forEach((pool, type) -> {
            if (isUsable(job, pool) && job.perTask().fitsIn(type.size())) {
                byZone.put(pool.zone(), job.tasks());
            }
        });
        return byZone;
    }

    private static boolean isUsable(Submission job, MachinePool pool) {
        boolean marketAllowed = job.spot() || !pool.spot();
        boolean typeAllowed =
                job.types().map(list -> list.contains(pool.type())).orElse(true);
        return marketAllowed
                && typeAllowed
                && job.zone().map(pool.zone()::equals).orElse(true);
    }

    private static int countFitting(Submission job, Resources available) {
        int tasks = 0;
        while (tasks < job.tasks() && job.perTask().times(tasks + 1).fitsIn(available)) {
            tasks++;
        }
        return tasks;
    }

    /** The capacity hints for other cells, one for each pool and priority. */
    public List<CapacityHint> hints() {
        var byPool = new LinkedHashMap<MachinePool, List<MachineAvailability>>();
        rentable.keySet().forEach(pool -> byPool.put(pool, new ArrayList<>()));
        for (MachineAvailability machine : machines) {
            MachineSnapshot machineSnapshot = machine.machineSnapshot;
            var pool = new MachinePool(machineSnapshot.type(), machineSnapshot.zone(), machineSnapshot.spot());
            byPool.computeIfAbsent(pool, key -> new ArrayList<>()).add(machine);
        }
        var hints = new ArrayList<CapacityHint>();
        byPool.forEach((pool, machinesOfPool) -> {
            for (Priority priority : Priority.values()) {
                hints.add(hint(pool, machinesOfPool, priority));
            }
        });
        return hints;
    }

    private CapacityHint hint(MachinePool pool, List<MachineAvailability> machinesOfPool, Priority priority) {
        MachineType rentableType = rentable.get(pool);
        Resources sum = Resources.NONE;
        Resources largest = rentableType == null ? Resources.NONE : rentableType.size();
        for (MachineAvailability machine : machinesOfPool) {
            Resources available = machine.availableFor(priority);
            sum = sum.plus(available);
            boolean larger = available.gpus() > largest.gpus()
                    || (available.gpus() == largest.gpus() && available.cpus() > largest.cpus());
            largest = larger ? available : largest;
        }
        return new CapacityHint(pool.type(), pool.zone(), pool.spot(), priority, sum, largest, rentableType != null);
    }
}
