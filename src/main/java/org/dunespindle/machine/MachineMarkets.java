package org.dunespindle.machine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.Planner;
import org.dunespindle.storage.StateReplica;

/** The cloud's machine pools with capacity in which machines for a job can be rented, and their prices. */
final class MachineMarkets {
    private static final int MAX_TASKS_PER_MACHINE = 128;

    private final MachineCatalog catalog;
    private final Set<MachinePool> poolsWithoutCapacity;
    private final Map<String, Integer> machinesPerZone = new HashMap<>();

    /**
     * Creates a view of the pools that are currently on offer.
     *
     * @param poolsWithoutCapacity pools to exclude because they recently had no capacity
     */
    MachineMarkets(StateReplica replica, MachineCatalog catalog, Set<MachinePool> poolsWithoutCapacity) {
        this.catalog = catalog;
        this.poolsWithoutCapacity = poolsWithoutCapacity;
        replica.machines().values().forEach(machine -> machinesPerZone.merge(machine.zone(), 1, Integer::sum));
    }

    /** The pools that a job allows, sorted by price, then by the number of machines in the pool's zone. */
    List<MachinePool> poolsFor(Submission job) {
        var pools = new ArrayList<MachinePool>();
        for (MachineType type : types()) {
            if (allows(job, type) && job.perTask().fitsIn(type.size())) {
                addPools(job, type, pools);
            }
        }
        pools.sort(Comparator.comparingDouble(this::price)
                .thenComparing(pool -> machinesPerZone.getOrDefault(pool.zone(), 0)));
        return pools;
    }

    private void addPools(Submission job, MachineType type, List<MachinePool> pools) {
        List<Boolean> spotChoices = job.spot() ? List.of(true, false) : List.of(false);
        for (String zone : type.zones()) {
            if (!job.zone().map(zone::equals).orElse(true)) {
                continue;
            }
            for (boolean spot : spotChoices) {
                var pool = new MachinePool(type.name(), zone, spot);
                if (!poolsWithoutCapacity.contains(pool)) {
                    pools.add(pool);
                }
            }
        }
    }

    /** The lowest price of a machine type that the job allows, regardless of current capacity; 0 if the job allows no type. */
    double lowestPrice(Submission job) {
        return types().stream()
                .filter(type -> allows(job, type))
                .mapToDouble(type -> type.price(job.spot()))
                .min()
                .orElse(0);
    }

    /** The price of a machine of a pool that {@link #poolsFor} returned. */
    double price(MachinePool pool) {
        return catalog.type(pool.type()).orElseThrow().price(pool.spot());
    }

    /** The size of a machine of a pool that {@link #poolsFor} returned. */
    Resources machineSize(MachinePool pool) {
        return catalog.type(pool.type()).orElseThrow().size();
    }

    /** The number of tasks of one size that fit on an empty machine of a type, up to {@link #MAX_TASKS_PER_MACHINE}. */
    int tasksPerMachine(Resources perTask, String typeName) {
        Resources size = catalog.type(typeName).map(MachineType::size).orElse(Resources.NONE);
        return Planner.fitCount(perTask, size, MAX_TASKS_PER_MACHINE);
    }

    private static boolean allows(Submission job, MachineType type) {
        return job.types().map(allowed -> allowed.contains(type.name())).orElse(true);
    }

    private List<MachineType> types() {
        return catalog.types().orElse(List.of());
    }
}
