package org.dunespindle.worker;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.Membership;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;

/**
 * Whether a machine that nobody hears may be given up. FailureDetector has many causes that are not the machine's: its zone is cut off, its
 * controller has lost its workers or cannot talk to the leader, it changed hands a moment ago, or this process did not listen.
 */
public final class FailureDetector {
    private static final int FEWEST_FOR_CUT = 4;
    private static final int MOST_SPARED = 3;
    private static final Duration ASKED_LATELY = Duration.ofSeconds(12);
    private static final Duration STRAGGLING = Duration.ofSeconds(5);
    private static final Duration OWNER_MUTE = Duration.ofSeconds(25);
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final WorkerClient workerClient;
    private final PeerHeartbeats peerHeartbeats;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final PauseDetector pauseDetector;
    /** Zones and owners most of whose machines are silent, and when that was last so: when a cut ends, some are heard later than others. */
    private final Map<String, Duration> cutOff = new HashMap<>();
    /** Where the cloud's list says that a machine is; records of rented machines do not tell until they report. */
    private final Function<String, Optional<String>> listedAddress;
    /** Since when each machine has been under its present command, as seen here. */
    private final Map<String, Command> commands = new HashMap<>();
    /** Machines that looked silent but answered when asked: how often in a row, and when first. */
    private final Map<String, Spared> spared = new HashMap<>();
    /** Machines that were asked for being silent, and since when it is known that they do not answer. */
    private final Map<String, Duration> askedInVain = new HashMap<>();

    private record Spared(int times, Duration at) {}

    private record Command(long token, Duration since) {}

    public FailureDetector(
            ControllerContext context,
            WorkerClient workerClient,
            PeerHeartbeats peerHeartbeats,
            Function<String, Optional<String>> listedAddress) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.workers = context.workers();
        this.timeSource = context.timeSource();
        this.pauseDetector = context.pauseDetector();
        this.workerClient = workerClient;
        this.peerHeartbeats = peerHeartbeats;
        this.listedAddress = listedAddress;
    }

    /**
     * When any controller last had a sign of life from a machine that could not be an old copy. Of its own machines a controller expects
     * reports: without them their leases run out. Another's may report to their owner alone, so an answer is enough.
     */
    public Optional<Duration> heard(MachineRecord machine) {
        Optional<WorkerState> session = workers.find(machine.id());
        Optional<Duration> here = Optional.empty();
        if (session.isPresent()) {
            here = membership.owns(machine)
                    ? session.get().lastHeartbeatAt()
                    : session.get().lastSeenAlive();
        }
        return Durations.later(here, peerHeartbeats.aliveAt(machine));
    }

    /** Forgets everything: what was seen as an earlier leader says nothing. */
    public void reset() {
        cutOff.clear();
        commands.clear();
        spared.clear();
        askedInVain.clear();
    }

    public void forget(String host) {
        commands.remove(host);
        spared.remove(host);
        askedInVain.remove(host);
    }

    /**
     * Finds zones and controllers most of whose machines are silent.
     *
     * @param longUp whether a machine must have been up for long: one that this leader never heard is then as silent as others
     */
    public void look(Duration leadingSince, Predicate<MachineRecord> longUp) {
        var all = new HashMap<String, Integer>();
        var silent = new HashMap<String, Integer>();
        Duration limit = Durations.times(settings.workers().report(), 2).plusSeconds(2);
        for (MachineRecord machine : replica.machines().values()) {
            Optional<Duration> heard = heard(machine);
            if (machine.draining() || heard.isEmpty() && !longUp.test(machine)) {
                continue;
            }
            boolean isSilent = pauseDetector.silence(heard.orElse(leadingSince)).compareTo(limit) > 0;
            for (String group : List.of(machine.zone(), ownerKey(machine))) {
                all.merge(group, 1, Integer::sum);
                silent.merge(group, isSilent ? 1 : 0, Integer::sum);
            }
        }
        Duration now = timeSource.now();
        cutOff.values().removeIf(last -> now.minus(last).compareTo(limit.plus(STRAGGLING)) > 0);
        all.forEach((group, n) -> {
            if (n >= FEWEST_FOR_CUT && silent.get(group) * 2 > n) {
                cutOff.put(group, now);
            }
        });
    }

    private static String ownerKey(MachineRecord machine) {
        return "by " + machine.owner();
    }

    /** How long a machine has been silent. Whoever takes one over has not heard it yet, and what its earlier owner told last may be minutes old. */
    public Duration of(MachineRecord machine, Duration leadingSince) {
        Duration now = timeSource.now();
        Command command = commands.get(machine.id());
        if (command == null || command.token != machine.token()) {
            command = new Command(machine.token(), now);
            commands.put(machine.id(), command);
        }
        return pauseDetector.silence(later(heard(machine).orElse(leadingSince), later(command.since, leadingSince)));
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Whether a machine silent for so long is given up. */
    public boolean proven(MachineRecord machine, Duration silent, Duration most) {
        Duration now = timeSource.now();
        boolean ownerTalks = membership.owns(machine)
                || peerHeartbeats.heartbeat(machine.owner()).isPresent();
        Duration limit = most.plus(ownerTalks ? Duration.ZERO : OWNER_MUTE);
        Spared answered = spared.get(machine.id());
        boolean heardAgain = silent.compareTo(Durations.part(limit, 1, 2)) < 0;
        if (answered != null && heardAgain && now.minus(answered.at).compareTo(limit) > 0) {
            spared.remove(machine.id());
        }
        return silent.compareTo(limit) > 0 && !spares(machine, silent) && !answersWhenAsked(machine);
    }

    /**
     * A zone most of whose machines fell silent, or a controller most of whose machines did, is cut off rather than all of them dead.
     * What runs there goes on as long as a controller in it may answer the workers, and their leases after that;
     * replacing it all earlier would only lose the work.
     */
    public boolean spares(MachineRecord machine, Duration silent) {
        var w = settings.workers();
        Duration patience = w.cancel().compareTo(w.lease()) > 0
                ? w.cancel().plus(w.lease().dividedBy(2))
                : w.lease().multipliedBy(3).dividedBy(2);
        return (cutOff.containsKey(machine.zone()) || cutOff.containsKey(ownerKey(machine)))
                && silent.compareTo(patience) <= 0;
    }

    /**
     * Whether a machine that looks silent may live: it is asked itself before it is given up. Its owner may not be able to talk to
     * this controller, or may not reach the machine; then others will be found to command it. One that answers again and again but
     * whose reports reach nobody is of no use. While the answer is out, it may.
     */
    public boolean answersWhenAsked(MachineRecord machine) {
        Duration now = timeSource.now();
        Duration vain = askedInVain.get(machine.id());
        if (vain != null && now.minus(vain).compareTo(ASKED_LATELY) < 0
                || spared.getOrDefault(machine.id(), new Spared(0, now)).times >= MOST_SPARED) {
            return false;
        }
        String known = peerHeartbeats.address(machine).orElse(workerClient.address(machine));
        String address = known.isEmpty() ? listedAddress.apply(machine.id()).orElse("") : known;
        if (address.isEmpty()) {
            return false;
        }
        workerClient.ask(machine, address, yes -> {
            if (yes) {
                askedInVain.remove(machine.id());
                spared.merge(machine.id(), new Spared(1, timeSource.now()), (a, b) -> new Spared(a.times + 1, b.at));
            } else {
                askedInVain.put(machine.id(), timeSource.now());
            }
        });
        return true;
    }
}
