package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.FailureDetector;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: what to rent, what to give back, and what the list says. */
public final class FleetManager {
    private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);
    private static final Duration TELL_EVERY = Duration.ofSeconds(10);
    private static final Duration EARLY = Duration.ofSeconds(15);
    /** Most machines are up by then; on the others nothing is planned any more. */
    private static final int LATE_BOOT_TENTHS = 16;

    private static final Duration RUNS_UNHEARD = Duration.ofSeconds(20);
    private static final Duration JUDGE_EVERY = Duration.ofMillis(900);
    private static final int SMALL_FLEET = 30;
    private static final Duration LEAST_IDLE = Duration.ofSeconds(8);
    /** Part of the silence otherwise borne with that is borne with from machines that hold replicas. */
    private static final int REPLICAS_WAIT_TENTHS = 6;
    /** Silence of so many reports may be chance. */
    private static final int LATE_REPORTS = 3;

    private static final String FAILS = "it fails its tasks";
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final MachineRecordWriter machineWriter;
    private final WorkerClient workerClient;
    private final TimeSource timeline;
    private final PauseDetector stalls;
    private final FailureDetector failures;
    private final Supplier<Options> options;
    private final Quarantine quarantine;
    private final CloudInventory inventory;
    private final MachineCatalog catalog;
    private final MachineProvisioner renter;
    private final MachineTerminator returner;
    private final Map<String, Duration> idleSince = new HashMap<>();
    private final Map<String, Duration> firstSeen = new HashMap<>();
    private Optional<Duration> leadingSince = Optional.empty();
    private Duration tellAgainAt = Duration.ZERO;
    private Duration judgeAgainAt = Duration.ZERO;

    /** What the leader does with the cloud. */
    public record Cloud(
            CloudInventory inventory, MachineCatalog catalog, MachineProvisioner renter, MachineTerminator returner) {}

    public FleetManager(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            WorkerClient workerClient,
            PeerHeartbeats peers,
            Quarantine quarantine,
            Supplier<Options> options,
            Cloud cloud) {
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeline = context.timeSource();
        this.stalls = context.pauseDetector();
        this.settings = context.settings();
        this.machineWriter = machineWriter;
        this.workerClient = workerClient;
        this.quarantine = quarantine;
        this.options = options;
        this.inventory = cloud.inventory;
        this.catalog = cloud.catalog;
        this.renter = cloud.renter;
        this.returner = cloud.returner;
        this.failures = new FailureDetector(context, workerClient, peers, inventory::address);
    }

    /** Whether a machine that has not reported yet is still worth waiting for. */
    public boolean bootsInTime(MachineRecord h) {
        // A controller that has just started has heard nobody yet: that says nothing about the machines.
        return timeline.now().compareTo(EARLY) < 0
                || age(h).compareTo(Durations.part(bootTime(h), LATE_BOOT_TENTHS, 10)) < 0;
    }

    private Duration age(MachineRecord h) {
        return Duration.between(h.rented(), timeline.wallTime());
    }

    private Duration bootTime(MachineRecord h) {
        return catalog.type(h.type()).map(MachineType::boot).orElse(Duration.ofSeconds(60));
    }

    /** When any controller last had a sign of life from a machine that could not be an old copy. */
    public Optional<Duration> heard(MachineRecord host) {
        return failures.heard(host);
    }

    /** Whether a machine may take its time: it was rented but nobody has heard it yet. */
    public boolean booting(MachineRecord h) {
        return heard(h).isEmpty();
    }

    /** Called with every plan on every controller; only the leader acts. */
    public void tick(Plan plan) {
        Duration now = timeline.now();
        if (!membership.leads()) {
            standDown();
            return;
        }
        if (leadingSince.isEmpty()) {
            leadingSince = Optional.of(now);
            inventory.beginToLead();
        }
        returner.prune();
        inventory.tick();
        if (now.compareTo(judgeAgainAt) >= 0) {
            judgeAgainAt = now.plus(JUDGE_EVERY);
            tellSize(now);
            removeGone();
            judge(now, plan);
            returner.giveBack();
        }
        renter.rent(plan);
    }

    /** This controller does not lead now. What it knew as a leader says nothing once it leads again. */
    public void standDown() {
        if (leadingSince.isPresent()) {
            leadingSince = Optional.empty();
            renter.standDown();
            inventory.standDown();
            firstSeen.clear();
            quarantine.clear();
            idleSince.clear();
            failures.reset();
            returner.standDown();
        }
    }

    private void tellSize(Duration now) {
        if (!LOG.isDebugEnabled() || now.compareTo(tellAgainAt) < 0) {
            return;
        }
        tellAgainAt = now.plus(TELL_EVERY);
        var counts = new java.util.TreeMap<String, Integer>();
        for (MachineRecord h : replica.machines().values()) {
            int allocations = replica.allocationsOn(h.id()).size();
            String use = heard(h).isEmpty() ? "booting" : h.draining() ? "leaving" : allocations == 0 ? "idle" : "used";
            counts.merge((h.spot() ? "spot " : "ordinary ") + use, 1, Integer::sum);
            counts.merge("tasks", allocations, Integer::sum);
        }
        double allocated = 0;
        double holding = 0;
        for (JobRecord j : replica.activeJobs()) {
            allocated += j.submission().perTask().gpus() * j.allocations().size();
            holding += j.submission().isGang() && j.gangPhase() != JobRecord.GangPhase.RUNNING
                    ? j.submission().perTask().gpus() * j.allocations().size()
                    : 0;
        }
        double all = replica.machines().values().stream()
                .mapToDouble(
                        h -> catalog.type(h.type()).map(t -> t.size().gpus()).orElse(0.0))
                .sum();
        LOG.debug(
                "fleet: {}, accelerators {} claimed ({} by placeholders) of {}",
                counts,
                Math.round(allocated),
                Math.round(holding),
                Math.round(all));
    }

    private void removeGone() {
        for (MachineRecord h : List.copyOf(replica.machines().values())) {
            if (returner.isGone(h.id())
                    && replica.allocationsOn(h.id()).isEmpty()
                    && !machineWriter.busy(h.id())
                    && !machineWriter.crowded()) {
                machineWriter.remove(h.id(), r -> {
                    if (r instanceof TransactionResult.Applied) {
                        firstSeen.remove(h.id());
                        quarantine.forget(h.id());
                        failures.forget(h.id());
                        returner.forget(h.id());
                        idleSince.remove(h.id());
                    }
                });
            }
        }
    }

    private void judge(Duration now, Plan plan) {
        failures.look(
                leadingSince.orElse(now), h -> age(h).compareTo(Durations.part(bootTime(h), LATE_BOOT_TENTHS, 10)) > 0);
        for (MachineRecord h : List.copyOf(replica.machines().values())) {
            if (returner.leaves(h) || machineWriter.busy(h.id())) {
                continue;
            }
            boolean idle = replica.allocationsOn(h.id()).isEmpty()
                    && !plan.wantedMachines().contains(h.id());
            if (!idle) {
                idleSince.remove(h.id());
            } else {
                idleSince.putIfAbsent(h.id(), now);
            }
            Optional<String> why = whyLeave(h, now);
            if (why.isPresent()) {
                giveUp(h, why.get());
            }
        }
    }

    private void giveUp(MachineRecord h, String why) {
        if (why.equals(MachineRecord.IDLE)) {
            if (!machineWriter.crowded()) {
                returner.leave(h, why);
            }
        } else if (why.equals(FAILS)) {
            returner.leave(h, why);
        } else {
            returner.drop(h, why);
        }
    }

    private Optional<String> whyLeave(MachineRecord h, Duration now) {
        Optional<ListedMachine> row = inventory.row(h.id());
        if (row.filter(ListedMachine::failed).isPresent()) {
            return Optional.of("it failed");
        }
        if (quarantine.over(h)) {
            return Optional.of(FAILS);
        }
        Duration silentLimit = options.get().silentBeforeReturn();
        Duration leading = stalls.silence(leadingSince.orElse(now));
        if (heard(h).isEmpty()) {
            Duration seen = now.minus(firstSeen.computeIfAbsent(h.id(), k -> now));
            boolean sure = leading.compareTo(silentLimit.plus(EARLY)) > 0 && !failures.spares(h, leading);
            boolean runs = row.filter(r -> r.phase().equals("running")).isPresent()
                    && seen.compareTo(silentLimit.plus(RUNS_UNHEARD)) > 0;
            boolean late =
                    age(h).compareTo(Durations.times(bootTime(h), options.get().bootPatience())) > 0;
            return !sure || !runs && !late || failures.answersWhenAsked(h)
                    ? Optional.empty()
                    : Optional.of(runs ? "it runs but no controller hears it" : "it did not come up in time");
        }
        Duration silent = failures.of(h, leadingSince.orElse(now));
        if (failures.proven(h, silent, patienceWith(h, silentLimit))) {
            return Optional.of("it has been silent for " + silent.toSeconds() + " s");
        }
        boolean reports = silent.compareTo(Durations.times(settings.workers().report(), 2)) < 0;
        if (membership.owns(h)
                && reports
                && leading.compareTo(silentLimit) > 0
                && workerClient
                        .oneWayFor(h.id())
                        .filter(d -> d.compareTo(silentLimit) > 0)
                        .isPresent()) {
            return Optional.of("it reports but takes no commands");
        }
        Duration idle = now.minus(idleSince.getOrDefault(h.id(), now));
        return idle.compareTo(idleLimit(h.spot())) > 0 ? Optional.of(MachineRecord.IDLE) : Optional.empty();
    }

    /**
     * How long a machine's silence is borne with. Replicas of services are missed every moment, so machines that hold some are
     * asked, and given back, sooner; but not for a few late reports.
     */
    private Duration patienceWith(MachineRecord h, Duration limit) {
        boolean holdsReplicas = replica.allocationsOn(h.id()).stream()
                .anyMatch(p -> p.job().spec().isPresent() && p.job().submission().isService());
        if (!holdsReplicas) {
            return limit;
        }
        Duration sooner = Durations.part(limit, REPLICAS_WAIT_TENTHS, 10);
        Duration least =
                Durations.times(settings.workers().report(), LATE_REPORTS).plusSeconds(1);
        Duration chosen = sooner.compareTo(least) > 0 ? sooner : least;
        return chosen.compareTo(limit) < 0 ? chosen : limit;
    }

    /** The more machines there are, the sooner another one is free for the next job, and the less each has to wait for it. */
    private Duration idleLimit(boolean spot) {
        Duration set = options.get().idleBeforeReturn(spot);
        double part = Math.sqrt(
                (double) SMALL_FLEET / Math.max(SMALL_FLEET, replica.machines().size()));
        Duration limit = Duration.ofMillis((long) (set.toMillis() * part));
        return limit.compareTo(LEAST_IDLE) > 0 ? limit : set.compareTo(LEAST_IDLE) > 0 ? LEAST_IDLE : set;
    }
}
