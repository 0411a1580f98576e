package org.dunespindle.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.Membership;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices when this controller has lost its workers while it still reaches the state service and the other controllers. Then it
 * steps aside, before its workers' leases end: the others take its machines, and the lead, as after a crash. Left
 * in place it would hold machines that it cannot command, and take them for dead.
 */
public final class PartitionDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionDetector.class);
    private static final Duration LATENESS = Duration.ofMillis(800);
    private static final Duration VIEW = Duration.ofSeconds(3);
    private static final Duration ASK_EVERY = Duration.ofSeconds(2);
    private static final Duration AWAY_AT_MOST = Duration.ofSeconds(60);
    private static final int ASKED = 5;
    private static final double NEARLY_ALL = 0.8;
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final WorkerClient workerClient;
    private final PeerHeartbeats peerHeartbeats;
    private final WorkerRegistry workers;
    private final TimeSource timeSource;
    private final PauseDetector pauseDetector;
    private final EventRecorder eventRecorder;
    /** Reports come at this interval, give or take a quarter. */
    private final Duration overdue;

    private Optional<Duration> awaySince = Optional.empty();
    private Duration askAgainAt = Duration.ZERO;

    public PartitionDetector(ControllerContext context, WorkerClient workerClient, PeerHeartbeats peerHeartbeats) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.workers = context.workers();
        this.timeSource = context.timeSource();
        this.pauseDetector = context.pauseDetector();
        this.eventRecorder = context.eventRecorder();
        this.workerClient = workerClient;
        this.peerHeartbeats = peerHeartbeats;
        this.overdue = settings.workers().report().multipliedBy(5).dividedBy(4).plus(LATENESS);
    }

    /** Called about twice a second. */
    public void tick() {
        Duration now = timeSource.now();
        if (now.compareTo(askAgainAt) < 0) {
            return;
        }
        if (awaySince.isPresent()) {
            comeBack(now);
        } else if (membership.joined()
                && replica.staleness().compareTo(VIEW) < 0
                && pauseDetector.awake().compareTo(overdue) > 0
                && othersServe()) {
            List<MachineRecord> silent = silentOnes();
            if (!silent.isEmpty()) {
                askAgainAt = now.plus(ASK_EVERY);
                ask(spread(silent), spread(known()), () -> stepAside(silent.size()));
            }
        }
    }

    private boolean othersServe() {
        return settings.seeds().stream()
                .anyMatch(seed -> membership.incarnationOf(seed.name()).isPresent()
                        && peerHeartbeats
                                .heartbeat(seed.name())
                                .filter(peer -> peer.replicaStaleness().compareTo(VIEW) < 0)
                                .isPresent());
    }

    /** The silent ones of the machines that have reported under this controller's command; none unless nearly all are. */
    private List<MachineRecord> silentOnes() {
        var silent = new ArrayList<MachineRecord>();
        int all = 0;
        for (MachineRecord machine : replica.machines().values()) {
            Optional<WorkerState> s =
                    membership.owns(machine) && !machine.draining() ? workers.find(machine.id()) : Optional.empty();
            if (s.isPresent()
                    && s.get().lastHeartbeatAt().isPresent()
                    && s.get()
                            .lastHeartbeat()
                            .filter(heartbeat -> heartbeat.token() == machine.token())
                            .isPresent()) {
                all++;
                if (pauseDetector.silence(s.get().lastHeartbeatAt().get()).compareTo(overdue) > 0) {
                    silent.add(machine);
                }
            }
        }
        return !silent.isEmpty() && silent.size() >= NEARLY_ALL * all ? silent : List.of();
    }

    /** Machines of any controller that have been heard here. */
    private List<MachineRecord> known() {
        var known = new ArrayList<MachineRecord>();
        replica.machines().values().stream()
                .filter(machine -> workers.find(machine.id())
                        .filter(worker -> worker.lastHeartbeat().isPresent())
                        .isPresent())
                .forEach(known::add);
        return known;
    }

    private static List<MachineRecord> spread(List<MachineRecord> hosts) {
        int count = Math.min(ASKED, hosts.size());
        var some = new ArrayList<MachineRecord>();
        for (int i = 0; i < count; i++) {
            some.add(hosts.get(i * hosts.size() / count));
        }
        return some;
    }

    /** Asks own machines and any; only if none at all answers is it this controller that is cut off, rather than some machines gone. */
    private void ask(List<MachineRecord> silent, List<MachineRecord> any, Runnable noneAnswered) {
        var hosts = new LinkedHashSet<>(silent);
        hosts.addAll(any);
        var open = new int[] {hosts.size()};
        var answered = new boolean[1];
        for (MachineRecord machine : hosts) {
            workerClient.ask(machine, workerClient.address(machine), yes -> {
                answered[0] |= yes;
                if (--open[0] == 0 && !answered[0]) {
                    noneAnswered.run();
                }
            });
        }
    }

    private void stepAside(int silent) {
        if (!membership.joined() || !othersServe()) {
            return;
        }
        eventRecorder.record(
                LOG, "none of {} workers is heard or reached from here; this controller steps aside", silent);
        awaySince = Optional.of(timeSource.now());
        membership.resign();
    }

    private void comeBack(Duration now) {
        askAgainAt = now.plus(ASK_EVERY);
        boolean alone = replica.members().isEmpty() && replica.staleness().compareTo(VIEW) < 0;
        if (alone || now.minus(awaySince.get()).compareTo(AWAY_AT_MOST) > 0) {
            back("nobody else serves");
            return;
        }
        for (MachineRecord machine : spread(known())) {
            workerClient.ask(machine, workerClient.address(machine), yes -> {
                if (yes) {
                    back("workers answer again");
                }
            });
        }
    }

    private void back(String why) {
        if (awaySince.isPresent()) {
            awaySince = Optional.empty();
            eventRecorder.record(LOG, "{}; this controller takes part again", why);
            membership.rejoin();
        }
    }
}
