package org.dunespindle.worker;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/**
 * Decides whether a machine without heartbeats has failed. Heartbeats can be missing although the machine is healthy: its zone is
 * partitioned, its owner does not reach its workers or the leader, the machine has just changed its owner, or this process was paused.
 */
public final class FailureDetector {
    /** Added to the failure timeout while no heartbeats arrive from the machine's owner. */
    private static final Duration EXTRA_TIMEOUT_WITHOUT_OWNER = Duration.ofSeconds(25);

    private final ControllerContext context;
    private final PeerHeartbeats peerHeartbeats;
    private final GroupOutageDetector outageDetector;
    private final SuspectInspection suspectInspection;
    private final WorkerReachability reachability;
    private final Map<String, TokenChange> tokenChanges = new HashMap<>();

    /** When this controller first saw a machine's current fencing token. */
    private record TokenChange(long token, Duration seenAt) {}

    /**
     * Creates a detector.
     *
     * @param listedAddress a machine's address in the cloud's list; the record of a rented machine lacks it until the first heartbeat
     */
    public FailureDetector(
            ControllerContext context,
            WorkerClient workerClient,
            PeerHeartbeats peerHeartbeats,
            Function<String, Optional<String>> listedAddress) {
        this.context = context;
        this.reachability = workerClient.reachability();
        this.peerHeartbeats = peerHeartbeats;
        this.outageDetector = new GroupOutageDetector(context);
        this.suspectInspection =
                new SuspectInspection(context.timeSource(), workerClient, peerHeartbeats, listedAddress);
    }

    /**
     * When a machine last gave a sign of life to any controller, late copies of heartbeats excluded. For machines that this controller
     * owns only heartbeats count: without them the leases expire. Other machines may send heartbeats to their owner alone, so answers
     * to inspections count too.
     */
    public Optional<Duration> lastSeen(MachineRecord machine) {
        Optional<WorkerState> worker = context.workers().find(machine.id());
        Optional<Duration> seenByThisController = context.membership().owns(machine)
                ? worker.flatMap(WorkerState::lastHeartbeatAt)
                : worker.flatMap(WorkerState::lastSeenAlive);
        return Durations.latest(seenByThisController, peerHeartbeats.lastSeenAlive(machine));
    }

    /** Discards all observations: those from an earlier term as leader are out of date. */
    public void reset() {
        outageDetector.reset();
        tokenChanges.clear();
        suspectInspection.reset();
    }

    /** Discards the observations of a removed machine. */
    public void forget(String machineId) {
        tokenChanges.remove(machineId);
        suspectInspection.forget(machineId);
    }

    /**
     * Finds zones and controllers with outages: most of their machines send no heartbeats.
     *
     * @param isPastBootTime whether a machine is past its boot time: one that was never seen counts as unresponsive only then
     */
    public void updateOutages(Duration leadingSince, Predicate<MachineRecord> isPastBootTime) {
        outageDetector.update(leadingSince, this::lastSeen, isPastBootTime);
    }

    /**
     * The time since a machine last gave a sign of life. A new owner has received no heartbeat yet, and the last report of the earlier
     * owner may be minutes old, so the time counts from the change of the machine's token at the earliest.
     */
    public Duration timeSinceLastSeen(MachineRecord machine, Duration leadingSince) {
        TokenChange change = tokenChanges.get(machine.id());
        if (change == null || change.token != machine.token()) {
            change = new TokenChange(machine.token(), context.timeSource().now());
            tokenChanges.put(machine.id(), change);
        }
        Duration lastSeen = lastSeen(machine).orElse(leadingSince);
        return context.pauseDetector().observedTimeSince(later(lastSeen, later(change.seenAt, leadingSince)));
    }

    private static Duration later(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    /** Whether a machine that gave no sign of life for this long has failed. */
    public boolean hasFailed(MachineRecord machine, Duration sinceLastSeen, Duration timeout) {
        boolean ownerReachable = context.membership().owns(machine)
                || peerHeartbeats.recentHeartbeat(machine.owner()).isPresent();
        Duration limit = ownerReachable ? timeout : timeout.plus(EXTRA_TIMEOUT_WITHOUT_OWNER);
        boolean heartbeatsResumed = sinceLastSeen.compareTo(Durations.fraction(limit, 1, 2)) < 0;
        if (heartbeatsResumed) {
            suspectInspection.discardAnswersOlderThan(limit, machine.id());
        }
        return sinceLastSeen.compareTo(limit) > 0
                && !isLikelyPartitioned(machine, sinceLastSeen)
                && !mayBeAlive(machine);
    }

    /**
     * Whether a machine gives no sign of life, proven by inspections rather than by how long this process has observed it: a process that
     * has just started, or was paused, comes to the same result as any other. Inspects the machine if its heartbeat is late. It may
     * still be behind a partition.
     */
    public boolean isProvenSilent(MachineRecord machine) {
        Optional<Duration> lastSeen = lastSeen(machine);
        if (lastSeen.isPresent() && !reachability.isHeartbeatLate(lastSeen.get())) {
            return false;
        }
        boolean unanswered = suspectInspection.isUnansweredTwice(machine, lastSeen);
        return unanswered && (lastSeen.isEmpty() || reachability.isSilent(lastSeen.get()));
    }

    /** Whether any machine of a zone gave this controller a sign of life lately, so that it isn't cut off from the zone. */
    public boolean isZoneHeard(String zone) {
        return context.replica().machines().values().stream()
                .filter(machine -> machine.zone().equals(zone))
                .flatMap(machine -> context.workers().find(machine.id()).stream())
                .flatMap(worker -> worker.lastSeenAlive().stream())
                .anyMatch(lastSeen -> !reachability.isSilent(lastSeen));
    }

    /**
     * Whether a machine is likely to be partitioned together with most machines of its zone or owner, while its tasks still run. They
     * run as long as a controller on its side of the partition may answer the worker, and then until the lease expires; replacing them
     * earlier would only lose their work.
     */
    public boolean isLikelyPartitioned(MachineRecord machine, Duration sinceLastSeen) {
        return outageDetector.isAffected(machine)
                && sinceLastSeen.compareTo(
                                timeoutDuringOutage(context.settings().workers()))
                        <= 0;
    }

    private static Duration timeoutDuringOutage(Settings.Workers timing) {
        return timing.cancellationTimeout().compareTo(timing.leaseDuration()) > 0
                ? timing.cancellationTimeout().plus(timing.leaseDuration().dividedBy(2))
                : timing.leaseDuration().multipliedBy(3).dividedBy(2);
    }

    /** Whether a suspected machine may be alive: its worker answers inspections, or an inspection has just been started. */
    public boolean mayBeAlive(MachineRecord machine) {
        return suspectInspection.mayBeAlive(machine);
    }
}
