package org.dunespindle.machine;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Resources;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the size and the use of the fleet at debug level. */
final class FleetSizeReporter {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSizeReporter.class);
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private final StateReplica replica;
    private final MachineCatalog catalog;
    private final Predicate<MachineRecord> isBooting;
    private Duration nextLogAt = Duration.ZERO;

    FleetSizeReporter(StateReplica replica, MachineCatalog catalog, Predicate<MachineRecord> isBooting) {
        this.replica = replica;
        this.catalog = catalog;
        this.isBooting = isBooting;
    }

    /** Logs the fleet's size if the log interval has elapsed. */
    void tick(Duration now) {
        if (!LOG.isDebugEnabled() || now.compareTo(nextLogAt) < 0) {
            return;
        }
        nextLogAt = now.plus(LOG_INTERVAL);
        LOG.debug(
                "fleet size machines={} tasks={} gpusAllocated={} gpusHeldByPlaceholders={} gpusTotal={}",
                machinesByUse(),
                allocationsOnMachines(),
                Math.round(allocatedGpus(job -> true)),
                Math.round(allocatedGpus(FleetSizeReporter::hasPlaceholdersOnly)),
                Math.round(totalGpus()));
    }

    private Map<String, Integer> machinesByUse() {
        var counts = new TreeMap<String, Integer>();
        for (MachineRecord machine : replica.machines().values()) {
            String market = machine.spot() ? "spot" : "ordinary";
            counts.merge(market + "-" + use(machine), 1, Integer::sum);
        }
        return counts;
    }

    private String use(MachineRecord machine) {
        if (isBooting.test(machine)) {
            return "booting";
        }
        if (machine.draining()) {
            return "draining";
        }
        return replica.allocationsOn(machine.id()).isEmpty() ? "idle" : "used";
    }

    private int allocationsOnMachines() {
        return replica.machines().keySet().stream()
                .mapToInt(machineId -> replica.allocationsOn(machineId).size())
                .sum();
    }

    private double allocatedGpus(Predicate<JobRecord> isCounted) {
        double sum = 0;
        for (JobRecord job : replica.activeJobs()) {
            if (isCounted.test(job)) {
                sum += job.submission().perTask().gpus() * job.allocations().size();
            }
        }
        return sum;
    }

    private static boolean hasPlaceholdersOnly(JobRecord job) {
        return job.submission().isGang() && job.gangPhase() != JobRecord.GangPhase.RUNNING;
    }

    private double totalGpus() {
        return replica.machines().values().stream()
                .mapToDouble(machine -> catalog.type(machine.type())
                        .map(MachineType::size)
                        .map(Resources::gpus)
                        .orElse(0.0))
                .sum();
    }
}
