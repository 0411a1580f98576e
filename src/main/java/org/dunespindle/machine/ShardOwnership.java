package org.dunespindle.machine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;
import org.dunespindle.worker.WorkerClient;

/**
 * Who commands which machine: machines are hashed among the live controllers, and the leader borrows those that
 * gangs are placed on. A borrowed machine stays while gangs come back to it, and is returned when none has for
 * a while, since every change of hands costs writes and a call.
 */
public final class ShardOwnership {
    private static final Duration LOOK_EVERY = Duration.ofMillis(250);
    private static final Duration OTHERS_FIRST = Duration.ofSeconds(4);
    private static final int MOST_PAGES_HANDED_ON = 6;
    private static final Duration RETURN_EVERY = Duration.ofSeconds(5);
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final WorkerClient workerClient;
    private final MachineRecordWriter machineWriter;
    private final PeerHeartbeats peerHeartbeats;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final Supplier<Options> options;
    private final Map<String, Duration> gangAt = new HashMap<>();
    private final Set<String> handedOn = new HashSet<>();
    private final Set<String> all = new TreeSet<>();
    private final Duration othersFirst;
    private Optional<Duration> joinedAt = Optional.empty();
    private Duration lookAgainAt = Duration.ZERO;
    private Duration returnAgainAt = Duration.ZERO;

    public ShardOwnership(
            ControllerContext context,
            WorkerClient workerClient,
            MachineRecordWriter machineWriter,
            PeerHeartbeats peerHeartbeats,
            Supplier<Options> options) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.workers = context.workers();
        this.timeSource = context.timeSource();
        this.workerClient = workerClient;
        this.machineWriter = machineWriter;
        this.peerHeartbeats = peerHeartbeats;
        this.options = options;
        all.add(settings.nodeName());
        settings.seeds().forEach(seed -> all.add(seed.name()));
        Duration part = settings.workers().lease().dividedBy(4);
        this.othersFirst = part.compareTo(OTHERS_FIRST) < 0 ? part : OTHERS_FIRST;
    }

    /**
     * Machines with placeholders that another live controller commands: it led when they were placed, and lost the lead without ending.
     * It keeps them while a gang is on them, and the leader cannot see there that all placeholders idle; without this the gang would wait for
     * its timer, all placed.
     */
    private Set<String> placeholdersElsewhere() {
        var hosts = new TreeSet<String>();
        for (JobRecord job : replica.activeJobs()) {
            if (job.isOpen() && job.submission().isGang() && job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS) {
                job.allocations().forEach(allocation -> hosts.add(allocation.machineId()));
            }
        }
        return hosts;
    }

    /** Takes over machines whose controller is gone, and hands back or on those that hash elsewhere. */
    public void tick(Plan plan) {
        Duration now = timeSource.now();
        if (now.compareTo(lookAgainAt) < 0) {
            return;
        }
        lookAgainAt = now.plus(LOOK_EVERY);
        boolean returning = now.compareTo(returnAgainAt) >= 0;
        if (returning) {
            returnAgainAt = now.plus(RETURN_EVERY);
            gangAt.keySet().retainAll(replica.machines().keySet());
        }
        takeOver();
        handedOn.clear();
        for (MachineRecord machine : replica.machines().values()) {
            if (!membership.owns(machine)) {
                continue;
            }
            if (hasGang(machine) || plan.gangMachines().contains(machine.id())) {
                gangAt.put(machine.id(), now);
            } else if (returning) {
                handOver(machine, now);
            }
        }
    }

    /**
     * A page is taken by one controller as a whole, by the leader if a gang is on it: two that rewrite one page at once make one
     * of them fail. After a crash of all, those that are back first leave the others' pages to them for a moment.
     */
    private void takeOver() {
        if (joinedAt.isEmpty()) {
            joinedAt = Optional.of(timeSource.now());
        }
        boolean early = timeSource.now().minus(joinedAt.get()).compareTo(othersFirst) < 0;
        var orphans = new ArrayList<MachineRecord>();
        for (MachineRecord h : replica.machines().values()) {
            if (!membership.isAlive(h.owner(), h.incarnation())) {
                orphans.add(h);
            }
        }
        orphans.sort(Comparator.comparing(
                h -> replica.allocationsOn(h.id()).isEmpty())); // what runs is in a hurry, what idles is not
        var gangPages = new HashSet<String>();
        orphans.stream().filter(this::hasGang).forEach(h -> gangPages.add(Keys.machinePage(h.id())));
        for (MachineRecord h : orphans) {
            Optional<String> home =
                    gangPages.contains(Keys.machinePage(h.id())) ? membership.leader() : membership.hashed(h.id());
            boolean comesBack = early && !membership.hashedAmong(all, h.id()).equals(Optional.of(settings.nodeName()));
            if (!machineWriter.busy(h.id())
                    && !comesBack
                    && home.filter(settings.nodeName()::equals).isPresent()) {
                // A rented machine's record may not tell its address; its owner did.
                peerHeartbeats
                        .address(h)
                        .ifPresentOrElse(
                                a -> workerClient.acquire(h, a, Instant.EPOCH, result -> {}),
                                () -> workerClient.acquire(h, Instant.EPOCH, result -> {}));
            }
        }
    }

    private boolean hasGang(MachineRecord machine) {
        List<PlacedTask> allocations = replica.allocationsOn(machine.id());
        for (PlacedTask placed : allocations) {
            if (placed.job().spec().isPresent() && placed.job().submission().isGang()) {
                return true;
            }
        }
        return false;
    }

    private void handOver(MachineRecord machine, Duration now) {
        Optional<String> home = membership.hashed(machine.id());
        if (home.isEmpty()
                || home.get().equals(settings.nodeName())
                || machineWriter.busy(machine.id())
                || machineWriter.crowded()) {
            return;
        }
        Duration kept = membership.leads() ? options.get().borrowedAtLeast() : Duration.ZERO;
        Optional<WorkerState> s = workers.find(machine.id());
        boolean calm = machine.keepUntil().isBefore(timeSource.wallTime())
                && now.minus(gangAt.getOrDefault(machine.id(), Duration.ZERO)).compareTo(kept) > 0
                && s.filter(x -> x.callInFlight()
                                || x.unansweredStartToken().isPresent()
                                || !x.terminations().isEmpty())
                        .isEmpty();
        Optional<Long> inc = membership.incarnationOf(home.get());
        // A few pages at a time: after a controller came back there are many, and even load is less urgent than all
        // else that is written.
        boolean turn = handedOn.contains(Keys.machinePage(machine.id())) || handedOn.size() < MOST_PAGES_HANDED_ON;
        if (calm
                && turn
                && inc.isPresent()
                && peerHeartbeats.heartbeat(home.get()).isPresent()) {
            handedOn.add(Keys.machinePage(machine.id()));
            machineWriter.change(
                    CommitPriority.MAINTENANCE, machine.ownedBy(home.get(), inc.get(), Instant.EPOCH), result -> {});
        }
    }

    /** Gangs are the leader's: it takes the machines that they are planned on, and those that their placeholders are on. */
    public void borrow(Plan plan) {
        long borrowed = -1;
        var wanted = new LinkedHashSet<>(plan.gangMachines());
        wanted.addAll(placeholdersElsewhere());
        for (String host : wanted) {
            MachineRecord machine = replica.machines().get(host);
            if (machine == null
                    || membership.owns(machine)
                    || machine.draining()
                    || machineWriter.busy(host)
                    || !machine.keepUntil().isBefore(timeSource.wallTime())) {
                continue;
            }
            if (borrowed < 0) {
                borrowed = replica.machines().values().stream()
                        .filter(membership::owns)
                        .filter(o -> membership
                                .hashed(o.id())
                                .filter(settings.nodeName()::equals)
                                .isEmpty())
                        .count();
            }
            if (borrowed++ >= options.get().borrowedMachines()) {
                return;
            }
            gangAt.put(host, timeSource.now());
            String address = peerHeartbeats.address(machine).orElse(machine.address());
            workerClient.acquire(machine, address, Instant.EPOCH, result -> {});
        }
    }
}
