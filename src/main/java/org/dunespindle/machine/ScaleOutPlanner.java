package org.dunespindle.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.Planner;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.scheduling.Shortfall;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/** Works out which machines to rent for what found no room in a plan. */
final class ScaleOutPlanner {
    private static final Duration FETCH_ALLOWANCE = Duration.ofSeconds(12);
    private static final int MOST_TASKS_PER_MACHINE = 128;
    /** A kind is as good as the cheapest if it costs up to this much more. */
    private static final double ABOUT_THE_CHEAPEST = 1.2;

    private final ControllerContext context;
    private final MachineCatalog catalog;
    private final ServiceLevelObjectives objectives;
    private final Set<MachinePool> refused;
    private final Map<String, Integer> machinesPerZone = new HashMap<>();
    private final Map<Ask, Integer> slots = new HashMap<>();
    private final Map<MachinePool, Need> needs = new LinkedHashMap<>();

    /** Machines of a market to rent, and whether the first job that needs one is a gang. */
    record Rental(MachinePool market, int count, boolean forGang) {}

    private static final class Need {
        int count;
        boolean forGang;
        /** Room left on the machine that was counted last. */
        Resources rest = Resources.NONE;
    }

    /** What jobs alike ask of a machine. */
    private record Ask(boolean spot, Resources perTask, Optional<List<String>> types) {}

    ScaleOutPlanner(
            ControllerContext context,
            MachineCatalog catalog,
            ServiceLevelObjectives objectives,
            Set<MachinePool> refused) {
        this.context = context;
        this.catalog = catalog;
        this.objectives = objectives;
        this.refused = refused;
        context.replica()
                .machines()
                .values()
                .forEach(machine -> machinesPerZone.merge(machine.zone(), 1, Integer::sum));
    }

    /** Packs what found no room into machines of the cheapest kinds that may serve it. */
    List<Rental> of(List<Shortfall> shortfalls) {
        Duration queued = runningWork();
        for (Shortfall shortfall : shortfalls) {
            Submission job = shortfall.job().submission();
            List<MachinePool> markets = markets(job);
            if (!job.isGang()) {
                queued = queued.plus(Durations.times(job.estimate(), shortfall.tasks()));
                keepCheapestIfInTime(shortfall, markets, queued);
            }
            markets.stream()
                    .filter(pool -> shortfall.zone().map(pool.zone()::equals).orElse(true))
                    .findFirst()
                    .ifPresent(pool -> add(pool, shortfall));
        }
        var rentals = new ArrayList<Rental>();
        needs.forEach((pool, need) -> {
            if (need.count > 0) {
                rentals.add(new Rental(pool, need.count, need.forGang));
            }
        });
        return rentals;
    }

    private void add(MachinePool pool, Shortfall shortfall) {
        Submission job = shortfall.job().submission();
        Need need = needs.computeIfAbsent(pool, key -> new Need());
        need.forGang |= need.count == 0 && job.isGang() && job.tasks() > 1;
        int fitting = Planner.fitCount(job.perTask(), need.rest, shortfall.tasks());
        need.rest = need.rest.minus(job.perTask().times(fitting));
        int left = shortfall.tasks() - fitting;
        if (left > 0) {
            int each = Math.max(1, tasksPerMachine(job.perTask(), pool.type()));
            int machines = (left + each - 1) / each;
            need.count += machines;
            int onLast = left - (machines - 1) * each;
            need.rest = catalog.type(pool.type())
                    .orElseThrow()
                    .size()
                    .minus(job.perTask().times(onLast));
        }
    }

    /** What is left of running array tasks, by estimate: half of each on average. */
    private Duration runningWork() {
        Duration sum = Duration.ZERO;
        for (JobRecord job : context.replica().activeJobs()) {
            if (job.isOpen() && !job.submission().isGang()) {
                int running = job.allocations().size();
                sum = sum.plus(Durations.part(job.submission().estimate(), running, 2));
            }
        }
        return sum;
    }

    /** Work that ends in time even if it queues for the cheapest kind is not worth a dear machine. */
    private void keepCheapestIfInTime(Shortfall shortfall, List<MachinePool> markets, Duration queued) {
        Submission job = shortfall.job().submission();
        Optional<Duration> target = objectives.nearest(job);
        int running = slots.computeIfAbsent(new Ask(job.spot(), job.perTask(), job.types()), this::slots);
        if (target.isEmpty() || running == 0) {
            return;
        }
        Duration waited =
                Duration.between(shortfall.job().arrived(), context.timeSource().wallTime());
        Duration end = waited.plus(Durations.part(queued, 1, running))
                .plus(Durations.part(job.estimate(), 4, 3))
                .plus(FETCH_ALLOWANCE);
        if (end.compareTo(Durations.part(target.get(), 4, 5)) < 0) {
            double limit = cheapest(job) * ABOUT_THE_CHEAPEST;
            markets.removeIf(pool -> price(pool) > limit);
        }
    }

    private double cheapest(Submission job) {
        return all().stream()
                .filter(type -> allows(job, type))
                .mapToDouble(type -> type.price(job.spot()))
                .min()
                .orElse(0);
    }

    /** Tasks that fit on all machines of the cheapest kind that the job may use. */
    private int slots(Ask ask) {
        var perType = new HashMap<String, Integer>();
        int sum = 0;
        for (MachineRecord machine : context.replica().machines().values()) {
            boolean type = ask.types.isEmpty() || ask.types.get().contains(machine.type());
            if (machine.spot() == ask.spot && !machine.draining() && type) {
                sum += perType.computeIfAbsent(machine.type(), name -> tasksPerMachine(ask.perTask, name));
            }
        }
        return sum;
    }

    private int tasksPerMachine(Resources one, String type) {
        Resources size = catalog.type(type).map(MachineType::size).orElse(Resources.NONE);
        return Planner.fitCount(one, size, MOST_TASKS_PER_MACHINE);
    }

    private List<MachineType> all() {
        return catalog.types().orElse(List.of());
    }

    private static boolean allows(Submission job, MachineType type) {
        return job.types().map(allowed -> allowed.contains(type.name())).orElse(true);
    }

    private double price(MachinePool pool) {
        return catalog.type(pool.type()).orElseThrow().price(pool.spot());
    }

    /** Allowed markets that were not refused lately, cheapest first, then the zone with fewest machines. */
    private List<MachinePool> markets(Submission job) {
        var list = new ArrayList<MachinePool>();
        for (MachineType type : all()) {
            if (allows(job, type) && job.perTask().fitsIn(type.size())) {
                addMarkets(job, type, list);
            }
        }
        list.sort(Comparator.comparingDouble(this::price)
                .thenComparing(pool -> machinesPerZone.getOrDefault(pool.zone(), 0)));
        return list;
    }

    private void addMarkets(Submission job, MachineType type, List<MachinePool> into) {
        for (String zone : type.zones()) {
            if (job.zone().map(zone::equals).orElse(true)) {
                for (boolean spot : job.spot() ? new boolean[] {true, false} : new boolean[] {false}) {
                    var pool = new MachinePool(type.name(), zone, spot);
                    if (!refused.contains(pool)) {
                        into.add(pool);
                    }
                }
            }
        }
    }
}
