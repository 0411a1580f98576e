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
 * Decides whether a silent machine has failed. Silence has many causes that are not the machine's: its zone is partitioned, its owner
 * does not reach its workers or the leader, the machine has just changed its owner, or this process was paused.
 */
public final class FailureDetector {
    /** Added to the permitted silence while the machine's owner does not talk to this controller. */
    private static final Duration EXTRA_SILENCE_WITHOUT_OWNER = Duration.ofSeconds(25);

    private final ControllerContext context;
    private final PeerHeartbeats peerHeartbeats;
    private final GroupOutageDetector outageDetector;
    private final SuspectInspection suspectInspection;
    private final Map<String, TokenChange> tokenChanges = new HashMap<>();

    /** Since when a machine has had its present fencing token, as seen here. */
    private record TokenChange(long token, Duration seenAt) {}

    /**
     * Creates a detector.
     *
     * @param listedAddress a machine's address in the cloud's list: the record of a rented machine has none until its first heartbeat
     */
    public FailureDetector(
            ControllerContext context,
            WorkerClient workerClient,
            PeerHeartbeats peerHeartbeats,
            Function<String, Optional<String>> listedAddress) {
        this.context = context;
        this.peerHeartbeats = peerHeartbeats;
        this.outageDetector = new GroupOutageDetector(context);
        this.suspectInspection =
                new SuspectInspection(context.timeSource(), workerClient, peerHeartbeats, listedAddress);
    }

    /**
     * When any controller last had a sign of life from a machine that could not be a late copy. Of its own machines a controller
     * expects heartbeats: without them their leases expire. Another controller's machines may send heartbeats to their owner alone,
     * so an answer counts too.
     */
    public Optional<Duration> lastSeen(MachineRecord machine) {
        Optional<WorkerState> worker = context.workers().find(machine.id());
        Optional<Duration> seenHere = context.membership().owns(machine)
                ? worker.flatMap(WorkerState::lastHeartbeatAt)
                : worker.flatMap(WorkerState::lastSeenAlive);
        return Durations.latest(seenHere, peerHeartbeats.lastSeenAlive(machine));
    }

    /** Forgets all observations: those made as an earlier leader are out of date. */
    public void reset() {
        outageDetector.reset();
        tokenChanges.clear();
        suspectInspection.reset();
    }

    /** Forgets a machine that has been removed. */
    public void forget(String machineId) {
        tokenChanges.remove(machineId);
        suspectInspection.forget(machineId);
    }

    /**
     * Finds zones and controllers most of whose machines are silent.
     *
     * @param isLongUp whether a machine must have been up for long: one that this leader never heard counts as silent only then
     */
    public void updateOutages(Duration leadingSince, Predicate<MachineRecord> isLongUp) {
        outageDetector.update(leadingSince, this::lastSeen, isLongUp);
    }

    /**
     * How long a machine has been silent. A new owner has not heard it yet, and what its earlier owner last published may be minutes
     * old, so silence counts from the change of its token at the earliest.
     */
    public Duration silenceOf(MachineRecord machine, Duration leadingSince) {
        TokenChange change = tokenChanges.get(machine.id());
        if (change == null || change.token != machine.token()) {
            change = new TokenChange(machine.token(), context.timeSource().now());
            tokenChanges.put(machine.id(), change);
        }
        Duration lastSeen = lastSeen(machine).orElse(leadingSince);
        return context.pauseDetector().observedSilence(later(lastSeen, later(change.seenAt, leadingSince)));
    }

    private static Duration later(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    /** Whether a machine that has been silent for so long has failed. */
    public boolean hasFailed(MachineRecord machine, Duration silence, Duration maxSilence) {
        boolean ownerTalks = context.membership().owns(machine)
                || peerHeartbeats.recentHeartbeat(machine.owner()).isPresent();
        Duration limit = ownerTalks ? maxSilence : maxSilence.plus(EXTRA_SILENCE_WITHOUT_OWNER);
        boolean heardAgain = silence.compareTo(Durations.fraction(limit, 1, 2)) < 0;
        if (heardAgain) {
            suspectInspection.forgetAnswersOlderThan(limit, machine.id());
        }
        return silence.compareTo(limit) > 0 && !isLikelyPartitioned(machine, silence) && !mayBeAlive(machine);
    }

    /**
     * Whether a silent machine is likely to be partitioned, with most of its zone or of its owner's machines, and its tasks to run
     * on. They do as long as a controller on its side may answer the worker, and then until the lease expires; replacing them
     * earlier would only lose their work.
     */
    public boolean isLikelyPartitioned(MachineRecord machine, Duration silence) {
        return outageDetector.isAffected(machine)
                && silence.compareTo(maxSilenceInOutage(context.settings().workers())) <= 0;
    }

    private static Duration maxSilenceInOutage(Settings.Workers timing) {
        return timing.cancel().compareTo(timing.lease()) > 0
                ? timing.cancel().plus(timing.lease().dividedBy(2))
                : timing.lease().multipliedBy(3).dividedBy(2);
    }

    /** Whether a suspected machine may be alive: its worker answers an inspection, or has just been asked. */
    public boolean mayBeAlive(MachineRecord machine) {
        return suspectInspection.mayBeAlive(machine);
    }
}
