package org.dunespindle.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.scheduling.Shortfall;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/** Decides which machines to rent for tasks that a plan found no capacity for. An instance is used for one plan only. */
final class ScaleOutPlanner {
    private static final Duration IMAGE_FETCH_ALLOWANCE = Duration.ofSeconds(12);
    /** Pools with a price of up to this multiple of the lowest price also count as cheapest. */
    private static final double MAX_CHEAPEST_PRICE_RATIO = 1.2;
    /** Allows for tasks that run a third longer than estimated. */
    private static final Fraction ESTIMATE_MARGIN = new Fraction(4, 3);
    /** A job is considered in time if it is expected to end within this part of its service-level objective. */
    private static final Fraction SAFE_OBJECTIVE_FRACTION = new Fraction(4, 5);

    private final ControllerContext context;
    private final ServiceLevelObjectives objectives;
    private final MachineMarkets markets;
    private final Map<TaskRequirement, Integer> slots = new HashMap<>();
    private final Map<MachinePool, PoolDemand> demandByPool = new LinkedHashMap<>();

    /** The number of machines to rent from a pool, and whether the first job that needs one is a gang. */
    record ScaleOutRequest(MachinePool pool, int count, boolean forGang) {}

    private record Fraction(int numerator, int denominator) {
        Duration of(Duration whole) {
            return Durations.fraction(whole, numerator, denominator);
        }
    }

    /** The machine requirements of a job's tasks. */
    private record TaskRequirement(boolean spot, Resources perTask, Optional<List<String>> types) {
        static TaskRequirement of(Submission job) {
            return new TaskRequirement(job.spot(), job.perTask(), job.types());
        }

        boolean allows(MachineRecord machine) {
            return machine.spot() == spot && (types.isEmpty() || types.get().contains(machine.type()));
        }
    }

    ScaleOutPlanner(
            ControllerContext context,
            MachineCatalog catalog,
            ServiceLevelObjectives objectives,
            Set<MachinePool> poolsWithoutCapacity) {
        this.context = context;
        this.objectives = objectives;
        this.markets = new MachineMarkets(context.replica(), catalog, poolsWithoutCapacity);
    }

    /** Packs the shortfalls into machines of the cheapest pools that the jobs allow, and returns the most urgent request first. */
    List<ScaleOutRequest> plan(List<Shortfall> shortfalls) {
        Duration queuedWork = estimateRunningWork();
        for (Shortfall shortfall : shortfalls) {
            Submission job = shortfall.job().submission();
            List<MachinePool> pools = markets.poolsFor(job);
            if (!job.isGang()) {
                queuedWork = queuedWork.plus(Durations.multiply(job.estimate(), shortfall.tasks()));
                keepCheapestIfInTime(shortfall.job(), pools, queuedWork);
            }
            pools.stream()
                    .filter(pool -> shortfall.zone().map(pool.zone()::equals).orElse(true))
                    .findFirst()
                    .ifPresent(pool -> addDemand(pool, shortfall));
        }
        return requests();
    }

    private void addDemand(MachinePool pool, Shortfall shortfall) {
        Submission job = shortfall.job().submission();
        int tasksPerMachine = Math.max(1, markets.tasksPerMachine(job.perTask(), pool.type()));
        demandByPool
                .computeIfAbsent(pool, key -> new PoolDemand(markets.machineSize(key)))
                .add(job, shortfall.tasks(), tasksPerMachine);
    }

    private List<ScaleOutRequest> requests() {
        var requests = new ArrayList<ScaleOutRequest>();
        demandByPool.forEach((pool, demand) -> {
            if (demand.machines() > 0) {
                requests.add(new ScaleOutRequest(pool, demand.machines(), demand.isForGang()));
            }
        });
        return requests;
    }

    /** The estimated remaining work of running tasks outside gangs: half of each task's estimate on average. */
    private Duration estimateRunningWork() {
        Duration sum = Duration.ZERO;
        for (JobRecord job : context.replica().activeJobs()) {
            if (job.isOpen() && !job.submission().isGang()) {
                int running = job.allocations().size();
                sum = sum.plus(Durations.fraction(job.submission().estimate(), running, 2));
            }
        }
        return sum;
    }

    /** Removes more expensive pools if the job is expected to end in time even when it queues for the cheapest pools. */
    private void keepCheapestIfInTime(JobRecord job, List<MachinePool> pools, Duration queuedWork) {
        Submission submission = job.submission();
        Optional<Duration> objective = objectives.nearest(submission);
        int slotCount = slots.computeIfAbsent(TaskRequirement.of(submission), this::countSlots);
        if (objective.isEmpty() || slotCount == 0) {
            return;
        }
        Duration waited = Duration.between(job.arrived(), context.timeSource().wallTime());
        Duration expectedEnd = waited.plus(Durations.fraction(queuedWork, 1, slotCount))
                .plus(ESTIMATE_MARGIN.of(submission.estimate()))
                .plus(IMAGE_FETCH_ALLOWANCE);
        if (expectedEnd.compareTo(SAFE_OBJECTIVE_FRACTION.of(objective.get())) < 0) {
            double maxPrice = markets.lowestPrice(submission) * MAX_CHEAPEST_PRICE_RATIO;
            pools.removeIf(pool -> markets.price(pool) > maxPrice);
        }
    }

    /** The number of tasks that fit on all machines of the fleet that meet the requirement, if these were empty. */
    private int countSlots(TaskRequirement requirement) {
        var slotsPerType = new HashMap<String, Integer>();
        int sum = 0;
        for (MachineRecord machine : context.replica().machines().values()) {
            if (requirement.allows(machine) && !machine.draining()) {
                sum += slotsPerType.computeIfAbsent(
                        machine.type(), type -> markets.tasksPerMachine(requirement.perTask, type));
            }
        }
        return sum;
    }
}
