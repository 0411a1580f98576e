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
    private final TimeSource timeSource;
    private final PauseDetector pauseDetector;
    private final FailureDetector failures;
    private final Supplier<Options> options;
    private final Quarantine quarantine;
    private final CloudInventory inventory;
    private final MachineCatalog catalog;
    private final MachineProvisioner provisioner;
    private final MachineTerminator terminator;
    private final Map<String, Duration> idleSince = new HashMap<>();
    private final Map<String, Duration> firstSeen = new HashMap<>();
    private Optional<Duration> leadingSince = Optional.empty();
    private Duration tellAgainAt = Duration.ZERO;
    private Duration judgeAgainAt = Duration.ZERO;

    /** What the leader does with the cloud. */
    public record Cloud(
            CloudInventory inventory,
            MachineCatalog catalog,
            MachineProvisioner provisioner,
            MachineTerminator terminator) {}

    public FleetManager(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            WorkerClient workerClient,
            PeerHeartbeats peerHeartbeats,
            Quarantine quarantine,
            Supplier<Options> options,
            Cloud cloud) {
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeSource = context.timeSource();
        this.pauseDetector = context.pauseDetector();
        this.settings = context.settings();
        this.machineWriter = machineWriter;
        this.workerClient = workerClient;
        this.quarantine = quarantine;
        this.options = options;
        this.inventory = cloud.inventory;
        this.catalog = cloud.catalog;
        this.provisioner = cloud.provisioner;
        this.terminator = cloud.terminator;
        this.failures = new FailureDetector(context, workerClient, peerHeartbeats, inventory::address);
    }

    /** Whether a machine that has not reported yet is still worth waiting for. */
    public boolean bootsInTime(MachineRecord machine) {
        // A controller that has just started has heard nobody yet: that says nothing about the machines.
        return timeSource.now().compareTo(EARLY) < 0
                || age(machine).compareTo(Durations.part(bootTime(machine), LATE_BOOT_TENTHS, 10)) < 0;
    }

    private Duration age(MachineRecord machine) {
        return Duration.between(machine.rented(), timeSource.wallTime());
    }

    private Duration bootTime(MachineRecord machine) {
        return catalog.type(machine.type()).map(MachineType::boot).orElse(Duration.ofSeconds(60));
    }

    /** When any controller last had a sign of life from a machine that could not be an old copy. */
    public Optional<Duration> heard(MachineRecord machine) {
        return failures.heard(machine);
    }

    /** Whether a machine may take its time: it was rented but nobody has heard it yet. */
    public boolean booting(MachineRecord machine) {
        return heard(machine).isEmpty();
    }

    /** Called with every plan on every controller; only the leader acts. */
    public void tick(Plan plan) {
        Duration now = timeSource.now();
        if (!membership.leads()) {
            standDown();
            return;
        }
        if (leadingSince.isEmpty()) {
            leadingSince = Optional.of(now);
            inventory.beginToLead();
        }
        terminator.prune();
        inventory.tick();
        if (now.compareTo(judgeAgainAt) >= 0) {
            judgeAgainAt = now.plus(JUDGE_EVERY);
            tellSize(now);
            removeGone();
            judge(now, plan);
            terminator.giveBack();
        }
        provisioner.rent(plan);
    }

    /** This controller does not lead now. What it knew as a leader says nothing once it leads again. */
    public void standDown() {
        if (leadingSince.isPresent()) {
            leadingSince = Optional.empty();
            provisioner.standDown();
            inventory.standDown();
            firstSeen.clear();
            quarantine.clear();
            idleSince.clear();
            failures.reset();
            terminator.standDown();
        }
    }

    private void tellSize(Duration now) {
        if (!LOG.isDebugEnabled() || now.compareTo(tellAgainAt) < 0) {
            return;
        }
        tellAgainAt = now.plus(TELL_EVERY);
        var counts = new java.util.TreeMap<String, Integer>();
        for (MachineRecord machine : replica.machines().values()) {
            int allocations = replica.allocationsOn(machine.id()).size();
            String use = heard(machine).isEmpty()
                    ? "booting"
                    : machine.draining() ? "leaving" : allocations == 0 ? "idle" : "used";
            counts.merge((machine.spot() ? "spot " : "ordinary ") + use, 1, Integer::sum);
            counts.merge("tasks", allocations, Integer::sum);
        }
        double allocated = 0;
        double holding = 0;
        for (JobRecord job : replica.activeJobs()) {
            allocated += job.submission().perTask().gpus() * job.allocations().size();
            holding += job.submission().isGang() && job.gangPhase() != JobRecord.GangPhase.RUNNING
                    ? job.submission().perTask().gpus() * job.allocations().size()
                    : 0;
        }
        double all = replica.machines().values().stream()
                .mapToDouble(machine -> catalog.type(machine.type())
                        .map(type -> type.size().gpus())
                        .orElse(0.0))
                .sum();
        LOG.debug(
                "fleet: {}, accelerators {} claimed ({} by placeholders) of {}",
                counts,
                Math.round(allocated),
                Math.round(holding),
                Math.round(all));
    }

    private void removeGone() {
        for (MachineRecord machine : List.copyOf(replica.machines().values())) {
            if (terminator.isGone(machine.id())
                    && replica.allocationsOn(machine.id()).isEmpty()
                    && !machineWriter.busy(machine.id())
                    && !machineWriter.crowded()) {
                machineWriter.remove(machine.id(), result -> {
                    if (result instanceof TransactionResult.Applied) {
                        firstSeen.remove(machine.id());
                        quarantine.forget(machine.id());
                        failures.forget(machine.id());
                        terminator.forget(machine.id());
                        idleSince.remove(machine.id());
                    }
                });
            }
        }
    }

    private void judge(Duration now, Plan plan) {
        failures.look(
                leadingSince.orElse(now),
                machine -> age(machine).compareTo(Durations.part(bootTime(machine), LATE_BOOT_TENTHS, 10)) > 0);
        for (MachineRecord machine : List.copyOf(replica.machines().values())) {
            if (terminator.leaves(machine) || machineWriter.busy(machine.id())) {
                continue;
            }
            boolean idle = replica.allocationsOn(machine.id()).isEmpty()
                    && !plan.wantedMachines().contains(machine.id());
            if (!idle) {
                idleSince.remove(machine.id());
            } else {
                idleSince.putIfAbsent(machine.id(), now);
            }
            Optional<String> why = whyLeave(machine, now);
            if (why.isPresent()) {
                giveUp(machine, why.get());
            }
        }
    }

    private void giveUp(MachineRecord machine, String why) {
        if (why.equals(MachineRecord.IDLE)) {
            if (!machineWriter.crowded()) {
                terminator.leave(machine, why);
            }
        } else if (why.equals(FAILS)) {
            terminator.leave(machine, why);
        } else {
            terminator.drop(machine, why);
        }
    }

    private Optional<String> whyLeave(MachineRecord machine, Duration now) {
        Optional<ListedMachine> row = inventory.row(machine.id());
        if (row.filter(ListedMachine::failed).isPresent()) {
            return Optional.of("it failed");
        }
        if (quarantine.over(machine)) {
            return Optional.of(FAILS);
        }
        Duration silentLimit = options.get().silentBeforeReturn();
        Duration leading = pauseDetector.silence(leadingSince.orElse(now));
        if (heard(machine).isEmpty()) {
            Duration seen = now.minus(firstSeen.computeIfAbsent(machine.id(), k -> now));
            boolean sure = leading.compareTo(silentLimit.plus(EARLY)) > 0 && !failures.spares(machine, leading);
            boolean runs = row.filter(r -> r.phase().equals("running")).isPresent()
                    && seen.compareTo(silentLimit.plus(RUNS_UNHEARD)) > 0;
            boolean late = age(machine)
                            .compareTo(Durations.times(
                                    bootTime(machine), options.get().bootPatience()))
                    > 0;
            return !sure || !runs && !late || failures.answersWhenAsked(machine)
                    ? Optional.empty()
                    : Optional.of(runs ? "it runs but no controller hears it" : "it did not come up in time");
        }
        Duration silent = failures.of(machine, leadingSince.orElse(now));
        if (failures.proven(machine, silent, patienceWith(machine, silentLimit))) {
            return Optional.of("it has been silent for " + silent.toSeconds() + " s");
        }
        boolean reports = silent.compareTo(Durations.times(settings.workers().report(), 2)) < 0;
        if (membership.owns(machine)
                && reports
                && leading.compareTo(silentLimit) > 0
                && workerClient
                        .oneWayFor(machine.id())
                        .filter(d -> d.compareTo(silentLimit) > 0)
                        .isPresent()) {
            return Optional.of("it reports but takes no commands");
        }
        Duration idle = now.minus(idleSince.getOrDefault(machine.id(), now));
        return idle.compareTo(idleLimit(machine.spot())) > 0 ? Optional.of(MachineRecord.IDLE) : Optional.empty();
    }

    /**
     * How long a machine's silence is borne with. Replicas of services are missed every moment, so machines that hold some are
     * asked, and given back, sooner; but not for a few late reports.
     */
    private Duration patienceWith(MachineRecord machine, Duration limit) {
        boolean holdsReplicas = replica.allocationsOn(machine.id()).stream()
                .anyMatch(placed -> placed.job().spec().isPresent()
                        && placed.job().submission().isService());
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
