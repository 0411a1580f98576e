package org.dunespindle.machine;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
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
    private static final Duration NO_CAPACITY_PAUSE = Duration.ofSeconds(6);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(25);
    private static final Duration RETRY = Duration.ofMillis(700);
    /** With an older copy of what is stored, too much might be rented. */
    private static final Duration FRESH_VIEW = Duration.ofSeconds(3);

    private static final int TRIES = 4;
    /** The cloud takes no larger request. */
    private static final int MOST_AT_ONCE = 50;

    private final ControllerContext context;
    private final StateReplica replica;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final MachineCatalog catalog;
    private final ServiceLevelObjectives objectives;
    private final Predicate<String> gone;
    private final Map<MachinePool, Refusal> refusals = new HashMap<>();
    /** Machines rented here whose records are not stored yet; nothing more is rented until they count as room. */
    private final Map<String, Runnable> unrecorded = new LinkedHashMap<>();

    private boolean renting;
    private long requests;

    private record Refusal(Duration until, Duration pause) {}

    /**
     * Creates a renter.
     *
     * @param gone whether the cloud has confirmed a machine's return
     */
    public MachineProvisioner(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            CloudClient cloud,
            MachineCatalog catalog,
            ServiceLevelObjectives objectives,
            Predicate<String> gone) {
        this.context = context;
        this.replica = context.replica();
        this.machineWriter = machineWriter;
        this.cloud = cloud;
        this.catalog = catalog;
        this.objectives = objectives;
        this.gone = gone;
    }

    /** Markets that had no capacity a moment ago. */
    public Set<MachinePool> refused() {
        var set = new HashSet<MachinePool>();
        refusals.forEach((pool, refusal) -> {
            if (refusal.until.compareTo(context.timeSource().now()) > 0) {
                set.add(pool);
            }
        });
        return set;
    }

    /** Forgets what is not recorded yet: the list tells the next leader of it. */
    void standDown() {
        unrecorded.clear();
    }

    /** Rents what a plan lacks most urgently. */
    void rent(Plan plan) {
        recordRented();
        boolean fresh = replica.staleness().compareTo(FRESH_VIEW) <= 0;
        if (!unrecorded.isEmpty() || renting || catalog.types().isEmpty() || !fresh) {
            return;
        }
        List<ScaleOutPlanner.Rental> rentals =
                new ScaleOutPlanner(context, catalog, objectives, refused()).of(plan.shortfalls());
        if (!rentals.isEmpty()) {
            renting = true;
            request(nextRequestId(), rentals.get(0), TRIES);
        }
    }

    /** Names are built on the incarnation, so that none is ever used twice. */
    private String nextRequestId() {
        requests++;
        return "r-" + context.settings().nodeName() + "-" + context.membership().incarnation() + "-" + requests;
    }

    private void request(String id, ScaleOutPlanner.Rental rental, int tries) {
        int count = Math.min(MOST_AT_ONCE, rental.count());
        cloud.rent(id, rental.market(), count).whenComplete((rented, failure) -> {
            if (failure == null) {
                renting = false;
                answered(rental, count, rented);
                return;
            }
            // Its answer may be lost, so the same request is sent again; what it rents all the same shows in the list.
            context.timeSource().schedule(RETRY, () -> {
                if (tries > 1 && context.membership().leads()) {
                    request(id, rental, tries - 1);
                } else {
                    renting = false;
                }
            });
        });
    }

    private void answered(ScaleOutPlanner.Rental rental, int count, CloudClient.RentalResult rented) {
        MachinePool pool = rental.market();
        if (rented.noCapacity() || rented.machineIds().size() < count) {
            refuse(pool);
        } else {
            refusals.remove(pool);
        }
        if (rented.machineIds().isEmpty()) {
            return;
        }
        context.eventRecorder()
                .record(
                        LOG,
                        "rented {} of {} in {} ({})",
                        rented.machineIds().size(),
                        pool.type(),
                        pool.zone(),
                        kind(pool));
        Instant at = context.timeSource().wallTime();
        rented.machineIds().forEach(id -> unrecorded.put(id, () -> record(id, "", pool, at, rental.forGang())));
        recordRented();
    }

    private static String kind(MachinePool pool) {
        return pool.spot() ? "spot" : "ordinary";
    }

    private void refuse(MachinePool pool) {
        Refusal before = refusals.get(pool);
        Duration pause = before == null ? NO_CAPACITY_PAUSE : before.pause.multipliedBy(2);
        if (pause.compareTo(LONGEST_PAUSE) > 0) {
            pause = LONGEST_PAUSE;
        }
        refusals.put(pool, new Refusal(context.timeSource().now().plus(pause), pause));
        context.eventRecorder()
                .record(
                        LOG,
                        "no more {} in {} ({}); asked again in {} s",
                        pool.type(),
                        pool.zone(),
                        kind(pool),
                        pause.toSeconds());
    }

    private void recordRented() {
        unrecorded.keySet().removeIf(id -> replica.machines().containsKey(id) || gone.test(id));
        List.copyOf(unrecorded.entrySet()).forEach(entry -> {
            if (!machineWriter.busy(entry.getKey())) {
                entry.getValue().run();
            }
        });
    }

    /** Records a machine. One that is rented for a gang is the leader's from the start: borrowing it would cost a write more. */
    void record(String id, String address, MachinePool pool, Instant rented, boolean forGang) {
        Membership membership = context.membership();
        String here = context.settings().nodeName();
        String owner = forGang ? here : membership.hashed(id).orElse(here);
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
                rented,
                Instant.EPOCH,
                false,
                "");
        machineWriter.change(CommitPriority.PLACEMENT, machine, result -> {});
    }
}
