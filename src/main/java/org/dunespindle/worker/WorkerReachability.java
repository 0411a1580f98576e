package org.dunespindle.worker;

import java.time.Duration;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/** Whether workers are heard here, and whether commands from here reach them. */
final class WorkerReachability {
    /** How late, beyond two heartbeat intervals, the next sign of life of a healthy worker may be. */
    private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofSeconds(2);
    /** How late it may be when the worker first has to find another controller. */
    private static final Duration MAX_FAILOVER_DELAY = Duration.ofSeconds(6);

    private final ControllerContext context;

    WorkerReachability(ControllerContext context) {
        this.context = context;
    }

    /** The address at which a machine's worker is reached: the one that it reported last, else the stored one. */
    String address(MachineRecord machine) {
        return context.workers()
                .lastHeartbeat(machine.id())
                .map(WorkerHeartbeat::address)
                .orElse(machine.address());
    }

    /**
     * Whether this controller may command a machine and draw conclusions about it: it owns the machine, and its replica has caught
     * up with the record that made it the owner.
     */
    boolean inCommand(MachineRecord machine) {
        return context.membership().owns(machine)
                && context.replica().appliedRevision() >= context.replica().modRevision(Keys.machinePage(machine.id()));
    }

    /** Whether a machine can take tasks: its last status came under the current fencing token, and commands reach it. */
    boolean isReady(MachineRecord machine) {
        Optional<WorkerState> worker = context.workers().find(machine.id());
        return worker.isPresent()
                && inCommand(machine)
                && !machine.draining()
                && worker.get()
                        .lastReportedToken()
                        .filter(token -> token == machine.token())
                        .isPresent()
                && worker.get().unansweredStartToken().isEmpty()
                && worker.get().commandsUnconfirmedSince().isEmpty();
    }

    /** How long a machine has sent heartbeats without taking commands; empty while it takes them. */
    Optional<Duration> commandsBlockedFor(String machineId) {
        return context.workers()
                .find(machineId)
                .flatMap(WorkerState::commandsUnconfirmedSince)
                .map(context.pauseDetector()::observedSilence);
    }

    /** Whether a worker has given no sign of life for two heartbeat intervals. */
    boolean isUnresponsive(WorkerState worker) {
        return isOlderThan(worker.lastSeenAlive(), Duration.ZERO);
    }

    /** Whether a worker has given no sign of life for longer than heartbeats may be late. */
    boolean isSuspected(WorkerState worker) {
        return isOlderThan(worker.lastSeenAlive(), MAX_HEARTBEAT_DELAY);
    }

    /**
     * Whether a worker's heartbeats no longer arrive, though it may answer inspections: then its lease is about to expire. A worker
     * whose controller does not answer, or whose machine has a new owner, needs some seconds to find that one.
     */
    boolean areHeartbeatsOverdue(WorkerState worker) {
        return isOlderThan(worker.lastHeartbeatAt(), MAX_FAILOVER_DELAY);
    }

    private boolean isOlderThan(Optional<Duration> lastSeen, Duration beyondTwoIntervals) {
        Duration limit =
                Durations.multiply(context.settings().workers().report(), 2).plus(beyondTwoIntervals);
        return lastSeen.isEmpty()
                || context.pauseDetector().observedSilence(lastSeen.get()).compareTo(limit) >= 0;
    }
}
