package org.dunespindle.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.storage.MachineRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that this controller is partitioned from its workers while it still reaches the state service and the other controllers.
 * It then resigns before its workers' leases expire, and the others acquire its machines and the leadership as after a crash. If it
 * stayed a member, it would own machines that it cannot command, and declare them failed.
 */
public final class PartitionDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionDetector.class);
    private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofMillis(800);
    private static final Duration MAX_REPLICA_STALENESS = Duration.ofSeconds(3);
    private static final Duration MIN_INSPECTION_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MAX_RESIGNATION_TIME = Duration.ofSeconds(60);
    private static final int MAX_SAMPLE_SIZE = 5;
    private static final double MIN_UNRESPONSIVE_FRACTION = 0.8;
    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final PeerHeartbeats peerHeartbeats;
    private final Duration heartbeatTimeout;
    private Optional<Duration> resignedAt = Optional.empty();
    private Duration nextCheckAt = Duration.ZERO;

    /** Creates a detector for a controller that has not resigned. */
    public PartitionDetector(ControllerContext context, WorkerClient workerClient, PeerHeartbeats peerHeartbeats) {
        this.context = context;
        this.workerClient = workerClient;
        this.peerHeartbeats = peerHeartbeats;
        // The interval between a worker's heartbeats varies by up to a quarter.
        this.heartbeatTimeout = context.settings()
                .workers()
                .heartbeatInterval()
                .multipliedBy(5)
                .dividedBy(4)
                .plus(MAX_HEARTBEAT_DELAY);
    }

    /** Checks whether to resign or to rejoin; called about twice a second. */
    public void tick() {
        Duration now = context.timeSource().now();
        if (now.compareTo(nextCheckAt) < 0) {
            return;
        }
        if (resignedAt.isPresent()) {
            nextCheckAt = now.plus(MIN_INSPECTION_INTERVAL);
            rejoinIfPossible(now.minus(resignedAt.get()));
        } else if (canDetectPartition()) {
            List<MachineRecord> unresponsive = unresponsiveMachinesIfNearlyAll();
            if (!unresponsive.isEmpty()) {
                nextCheckAt = now.plus(MIN_INSPECTION_INTERVAL);
                resignIfNoneAnswers(unresponsive);
            }
        }
    }

    private boolean canDetectPartition() {
        return context.membership().isMember()
                && isReplicaFresh()
                && context.pauseDetector().uptimeSincePause().compareTo(heartbeatTimeout) > 0
                && isAnotherControllerServing();
    }

    private boolean isReplicaFresh() {
        return context.replica().staleness().compareTo(MAX_REPLICA_STALENESS) < 0;
    }

    private boolean isAnotherControllerServing() {
        return context.settings().seeds().stream()
                .anyMatch(seed ->
                        context.membership().incarnationOf(seed.name()).isPresent()
                                && peerHeartbeats
                                        .recentHeartbeat(seed.name())
                                        .filter(peer -> peer.replicaStaleness().compareTo(MAX_REPLICA_STALENESS) < 0)
                                        .isPresent());
    }

    /**
     * The unresponsive ones among this controller's machines that sent heartbeats under their current token; empty unless nearly all of
     * these machines are unresponsive.
     */
    private List<MachineRecord> unresponsiveMachinesIfNearlyAll() {
        var unresponsive = new ArrayList<MachineRecord>();
        int total = 0;
        for (MachineRecord machine : context.replica().machines().values()) {
            Optional<Duration> lastHeartbeatAt = lastHeartbeatUnderCurrentToken(machine);
            if (lastHeartbeatAt.isPresent()) {
                total++;
                if (context.pauseDetector()
                                .observedTimeSince(lastHeartbeatAt.get())
                                .compareTo(heartbeatTimeout)
                        > 0) {
                    unresponsive.add(machine);
                }
            }
        }
        return !unresponsive.isEmpty() && unresponsive.size() >= MIN_UNRESPONSIVE_FRACTION * total
                ? unresponsive
                : List.of();
    }

    private Optional<Duration> lastHeartbeatUnderCurrentToken(MachineRecord machine) {
        if (!context.membership().owns(machine) || machine.draining()) {
            return Optional.empty();
        }
        return context.workers()
                .find(machine.id())
                .filter(worker -> worker.lastReportedToken()
                        .filter(token -> token == machine.token())
                        .isPresent())
                .flatMap(WorkerState::lastHeartbeatAt);
    }

    /** The machines, of any owner, whose workers have sent heartbeats or answers to this controller. */
    private List<MachineRecord> machinesSeenHere() {
        return context.replica().machines().values().stream()
                .filter(machine -> context.workers().lastHeartbeat(machine.id()).isPresent())
                .toList();
    }

    private static List<MachineRecord> evenSample(List<MachineRecord> machines) {
        int size = Math.min(MAX_SAMPLE_SIZE, machines.size());
        var sample = new ArrayList<MachineRecord>();
        for (int i = 0; i < size; i++) {
            sample.add(machines.get(i * machines.size() / size));
        }
        return sample;
    }

    /**
     * Inspects a sample of the unresponsive machines and of all machines seen here. Only if none answers is this controller
     * partitioned; otherwise some machines have failed.
     */
    private void resignIfNoneAnswers(List<MachineRecord> unresponsive) {
        var sample = new LinkedHashSet<>(evenSample(unresponsive));
        sample.addAll(evenSample(machinesSeenHere()));
        var round = new InspectionRound(sample.size());
        inspect(sample, answered -> {
            round.record(answered);
            if (round.isCompleteWithoutAnswer()) {
                resign(unresponsive.size());
            }
        });
    }

    private void inspect(Collection<MachineRecord> machines, Consumer<Boolean> onResult) {
        for (MachineRecord machine : machines) {
            workerClient
                    .inspector()
                    .inspect(machine, workerClient.reachability().address(machine), onResult);
        }
    }

    private void resign(int unresponsiveMachines) {
        if (!context.membership().isMember() || !isAnotherControllerServing()) {
            return;
        }
        context.eventRecorder()
                .record(
                        LOG,
                        "none of {} workers is heard or reached from here; this controller steps aside",
                        unresponsiveMachines);
        resignedAt = Optional.of(context.timeSource().now());
        context.membership().resign();
    }

    private void rejoinIfPossible(Duration sinceResignation) {
        boolean noOtherMember = context.replica().members().isEmpty() && isReplicaFresh();
        if (noOtherMember || sinceResignation.compareTo(MAX_RESIGNATION_TIME) > 0) {
            rejoin("no other controller is a member, or the resignation lasted too long");
            return;
        }
        inspect(evenSample(machinesSeenHere()), answered -> {
            if (answered) {
                rejoin("workers answer again");
            }
        });
    }

    private void rejoin(String reason) {
        if (resignedAt.isPresent()) {
            resignedAt = Optional.empty();
            context.eventRecorder().record(LOG, "{}; this controller takes part again", reason);
            context.membership().rejoin();
        }
    }

    /** Counts the results of inspections that were started together. */
    private static final class InspectionRound {
        private int outstanding;
        private boolean anyAnswer;

        InspectionRound(int inspections) {
            this.outstanding = inspections;
        }

        void record(boolean answered) {
            outstanding--;
            anyAnswer |= answered;
        }

        boolean isCompleteWithoutAnswer() {
            return outstanding == 0 && !anyAnswer;
        }
    }
}
