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
    private static final int ARRAY_PART = 4;

    private final ClusterSnapshot snapshot;
    private final List<Machine> machines = new ArrayList<>();
    private final TeamUsage use;
    private final List<JobRecord> lacking = new ArrayList<>();
    /** The pools that can be rented from, as far as known: those that the cloud did not refuse recently. */
    private final Map<MachinePool, MachineType> rentable = new LinkedHashMap<>();

    private static final class Machine {
        final MachineSnapshot host;
        Resources free;
        final Map<Priority, Resources> heldBy = new HashMap<>();

        Machine(MachineSnapshot machine) {
            this.host = machine;
            this.free = machine.capacity();
        }

        /** The free and preemptible resources: preemption depends on priority alone, and only tasks of gangs are exempt from it. */
        Resources freeFor(Priority priority) {
            Resources sum = free;
            for (Map.Entry<Priority, Resources> held : heldBy.entrySet()) {
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
        this.use = snapshot.projection().usage();
        var byId = new HashMap<String, Machine>();
        for (MachineSnapshot host : snapshot.machines()) {
            var machine = new Machine(host);
            machines.add(machine);
            byId.put(host.id(), machine);
        }
        types.forEach(this::addMarkets);
        snapshot.jobs().forEach(job -> occupy(job, job.allocations(), byId));
        snapshot.projection()
                .withUnprojectedAllocations()
                .forEach(job -> occupy(job.stored(), job.unprojectedAllocations(), byId));
        plan.bindings().forEach(booking -> book(booking, byId));
        var present = new HashMap<String, JobRecord>();
        snapshot.jobs().forEach(job -> present.put(job.id(), job));
        plan.shortfalls().stream()
                .map(shortfall -> present.get(shortfall.job().id()))
                .filter(job -> job != null && job.isOpen())
                .forEach(lacking::add);
    }

    private void addMarkets(MachineType type) {
        for (String zone : type.zones()) {
            for (boolean spot : new boolean[] {false, true}) {
                var pool = new MachinePool(type.name(), zone, spot);
                if (!snapshot.refusedPools().contains(pool)) {
                    rentable.put(pool, type);
                }
            }
        }
    }

    private void occupy(JobRecord job, List<Allocation> allocations, Map<String, Machine> byId) {
        for (Allocation allocation : allocations) {
            Machine machine = byId.get(allocation.machineId());
            boolean ended = snapshot.endedTasks()
                    .contains(new TaskAttempt(job.id(), allocation.task(), allocation.attemptBase()));
            if (machine != null && !ended) {
                take(machine, job, !job.submission().isGang());
            }
        }
    }

    private void book(Binding booking, Map<String, Machine> byId) {
        for (String host : booking.machineByTask().values()) {
            Machine machine = byId.get(host);
            if (machine != null) {
                take(machine, booking.job(), false);
            }
        }
    }

    private static void take(Machine machine, JobRecord job, boolean givesWay) {
        Resources one = job.submission().perTask();
        machine.free = machine.free.minus(one);
        if (givesWay) {
            machine.heldBy.merge(job.submission().priority(), one, Resources::plus);
        }
    }

    /** The open jobs, both the cell's own and those accepted from other cells, that the plan could not place. */
    public List<JobRecord> lacking() {
        return lacking;
    }

    /** Whether a job of at least this priority already waits for machines that work of this kind could use. */
    public boolean lacks(ResourceKind kind, Priority priority) {
        return lacking.stream()
                .anyMatch(job -> job.submission().priority().compareTo(priority) >= 0
                        && ResourceKind.of(job.submission()).overlaps(kind));
    }

    /** Whether a job fits into the remaining capacity and its team's limit. */
    public boolean hasRoomFor(Submission job) {
        int wanted = job.isGang() ? job.tasks() : Math.max(1, job.tasks() / ARRAY_PART);
        Settings.Team team = snapshot.teams().get(job.team());
        Resources before = use.of(job.team());
        if (team == null || !team.withinLimit(before.plus(job.perTask().times(job.isGang() ? wanted : 1)))) {
            return false;
        }
        Map<String, Integer> byZone = tasksByZone(job);
        if (job.sameZone()) {
            return byZone.values().stream().anyMatch(tasks -> tasks >= wanted);
        }
        int mostInZone = job.spread() ? (job.tasks() + 1) / 2 : job.tasks();
        return byZone.values().stream()
                        .mapToInt(tasks -> Math.min(tasks, mostInZone))
                        .sum()
                >= wanted;
    }

    private Map<String, Integer> tasksByZone(Submission job) {
        var byZone = new TreeMap<String, Integer>();
        for (Machine machine : machines) {
            MachineSnapshot host = machine.host;
            if (mayUse(job, new MachinePool(host.type(), host.zone(), host.spot()))) {
                byZone.merge(host.zone(), fit(job, machine.freeFor(job.priority())), Integer::sum);
            }
        }
        rentable.forEach((pool, type) -> {
            if (mayUse(job, pool) && job.perTask().fitsIn(type.size())) {
                byZone.put(pool.zone(), job.tasks());
            }
        });
        return byZone;
    }

    private static boolean mayUse(Submission job, MachinePool pool) {
        boolean kind = job.spot() || !pool.spot();
        boolean type = job.types().map(list -> list.contains(pool.type())).orElse(true);
        return kind && type && job.zone().map(pool.zone()::equals).orElse(true);
    }

    private static int fit(Submission job, Resources room) {
        int tasks = 0;
        while (tasks < job.tasks() && job.perTask().times(tasks + 1).fitsIn(room)) {
            tasks++;
        }
        return tasks;
    }

    /** The capacity hints for other cells, one for each pool and priority. */
    public List<CapacityHint> hints() {
        var byMarket = new LinkedHashMap<MachinePool, List<Machine>>();
        rentable.keySet().forEach(pool -> byMarket.put(pool, new ArrayList<>()));
        for (Machine machine : machines) {
            MachineSnapshot host = machine.host;
            var pool = new MachinePool(host.type(), host.zone(), host.spot());
            byMarket.computeIfAbsent(pool, key -> new ArrayList<>()).add(machine);
        }
        var hints = new ArrayList<CapacityHint>();
        byMarket.forEach((pool, alike) -> {
            for (Priority priority : Priority.values()) {
                hints.add(hint(pool, alike, priority));
            }
        });
        return hints;
    }

    private CapacityHint hint(MachinePool pool, List<Machine> alike, Priority priority) {
        MachineType more = rentable.get(pool);
        Resources sum = Resources.NONE;
        Resources largest = more == null ? Resources.NONE : more.size();
        for (Machine machine : alike) {
            Resources room = machine.freeFor(priority);
            sum = sum.plus(room);
            boolean larger =
                    room.gpus() > largest.gpus() || (room.gpus() == largest.gpus() && room.cpus() > largest.cpus());
            largest = larger ? room : largest;
        }
        return new CapacityHint(pool.type(), pool.zone(), pool.spot(), priority, sum, largest, more != null);
    }
}
