package org.dunespindle.machine;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines, one request at a time, and records them. */
public final class MachineProvisioner {
    private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);
    /** Nothing is rented with an older replica, since it may lack machines rented already. */
    private static final Duration MAX_REPLICA_STALENESS = Duration.ofSeconds(3);

    private static final int MAX_ATTEMPTS = 4;
    /** The cloud's limit of machines per rental request. */
    private static final int MAX_MACHINES_PER_REQUEST = 50;

    private final ControllerContext context;
    private final StateReplica replica;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final MachineCatalog catalog;
    private final ServiceLevelObjectives objectives;
    private final Predicate<String> isTerminated;
    private final CapacityBackoff capacityBackoff;
    /** Machines rented by this controller without a stored record yet. Nothing more is rented until they count as capacity. */
    private final Map<String, RentedMachine> unrecorded = new LinkedHashMap<>();

    private boolean requestInFlight;
    private long requestCount;

    /** A rented machine whose record is still to be written. */
    private record RentedMachine(String id, MachinePool pool, Instant rentedAt, boolean forGang) {}

    /**
     * Creates a provisioner without rentals in progress.
     *
     * @param isTerminated whether the cloud has confirmed the termination of a machine id
     */
    public MachineProvisioner(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            CloudClient cloud,
            MachineCatalog catalog,
            ServiceLevelObjectives objectives,
            Predicate<String> isTerminated) {
        this.context = context;
        this.replica = context.replica();
        this.machineWriter = machineWriter;
        this.cloud = cloud;
        this.catalog = catalog;
        this.objectives = objectives;
        this.isTerminated = isTerminated;
        this.capacityBackoff = new CapacityBackoff(context.timeSource());
    }

    /** Pools in back-off because they recently had no capacity. */
    public Set<MachinePool> poolsWithoutCapacity() {
        return capacityBackoff.poolsInBackoff();
    }

    /** Discards machines that are not recorded yet; the next leader finds them in the cloud's list. */
    void onLeadershipLost() {
        unrecorded.clear();
    }

    /** Rents machines for the most urgent shortfall of a plan, unless a rental is in progress. */
    void rent(Plan plan) {
        recordRented();
        boolean stale = replica.staleness().compareTo(MAX_REPLICA_STALENESS) > 0;
        if (!unrecorded.isEmpty() || requestInFlight || catalog.types().isEmpty() || stale) {
            return;
        }
        List<ScaleOutPlanner.ScaleOutRequest> requests =
                new ScaleOutPlanner(context, catalog, objectives, poolsWithoutCapacity()).plan(plan.shortfalls());
        if (!requests.isEmpty()) {
            requestInFlight = true;
            send(nextRequestId(), requests.get(0), MAX_ATTEMPTS);
        }
    }

    /** Request ids contain the controller's incarnation, so that they are unique across restarts. */
    private String nextRequestId() {
        requestCount++;
        return "r-" + context.settings().nodeName() + "-" + context.membership().incarnation() + "-" + requestCount;
    }

    private void send(String requestId, ScaleOutPlanner.ScaleOutRequest request, int attemptsLeft) {
        int count = Math.min(MAX_MACHINES_PER_REQUEST, request.count());
        cloud.rent(requestId, request.pool(), count).whenComplete((rented, failure) -> {
            if (failure == null) {
                requestInFlight = false;
                onRented(request, count, rented);
            } else {
                LOG.debug("rental request failed id={} cause={}", requestId, failure.toString());
                retryLater(requestId, request, attemptsLeft);
            }
        });
    }

    /** Retries with the same request id, since the response may be lost. Machines rented after the last attempt are found in the cloud's list. */
    private void retryLater(String requestId, ScaleOutPlanner.ScaleOutRequest request, int attemptsLeft) {
        context.timeSource().schedule(RETRY_DELAY, () -> {
            if (attemptsLeft > 1 && context.membership().isLeader()) {
                send(requestId, request, attemptsLeft - 1);
            } else {
                requestInFlight = false;
            }
        });
    }

    private void onRented(ScaleOutPlanner.ScaleOutRequest request, int count, CloudClient.RentalResult rented) {
        MachinePool pool = request.pool();
        List<String> machineIds = rented.machineIds();
        if (rented.noCapacity() || machineIds.size() < count) {
            backOff(pool);
        } else {
            capacityBackoff.reset(pool);
        }
        if (machineIds.isEmpty()) {
            return;
        }
        context.eventRecorder()
                .record(LOG, "rented {} of {} in {} ({})", machineIds.size(), pool.type(), pool.zone(), market(pool));
        Instant rentedAt = context.timeSource().wallTime();
        machineIds.forEach(id -> unrecorded.put(id, new RentedMachine(id, pool, rentedAt, request.forGang())));
        recordRented();
    }

    private static String market(MachinePool pool) {
        return pool.spot() ? "spot" : "ordinary";
    }

    private void backOff(MachinePool pool) {
        Duration duration = capacityBackoff.backOff(pool);
        context.eventRecorder()
                .record(
                        LOG,
                        "no more {} in {} ({}); asked again in {} s",
                        pool.type(),
                        pool.zone(),
                        market(pool),
                        duration.toSeconds());
    }

    private void recordRented() {
        unrecorded.keySet().removeIf(id -> replica.machines().containsKey(id) || isTerminated.test(id));
        for (RentedMachine machine : List.copyOf(unrecorded.values())) {
            if (!machineWriter.hasPendingChange(machine.id)) {
                record(machine.id, "", machine.pool, machine.rentedAt, machine.forGang);
            }
        }
    }

    /**
     * Stores the record of a machine. A machine rented for a gang is owned by the leader from the start, which saves the write that a
     * later acquisition would cost.
     */
    void record(String id, String address, MachinePool pool, Instant rentedAt, boolean forGang) {
        Membership membership = context.membership();
        String nodeName = context.settings().nodeName();
        String owner = forGang ? nodeName : membership.controllerOfMachine(id).orElse(nodeName);
        long incarnation = membership.incarnationOf(owner).orElse(membership.incarnation());
        Optional<Long> seen = context.workers()
                .find(id)
                .flatMap(worker -> worker.lastHeartbeat())
                .map(heartbeat -> heartbeat.token());
        var machine = new MachineRecord(
                id,
                address,
                pool.type(),
                pool.zone(),
                pool.spot(),
                owner,
                incarnation,
                seen.orElse(0L) + 1,
                rentedAt,
                Instant.EPOCH,
                false,
                "");
        machineWriter.write(CommitPriority.PLACEMENT, machine, result -> {});
    }
}
