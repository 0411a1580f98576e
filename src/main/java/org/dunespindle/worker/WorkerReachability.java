package org.dunespindle.worker;

import java.time.Duration;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/** Whether workers' heartbeats reach this controller, and whether its commands reach the workers. */
final class WorkerReachability {
    /** How late, beyond two heartbeat intervals, the next sign of life of a healthy worker may be. */
    private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofSeconds(2);
    /** How late it may be when the worker has to find another controller first. */
    private static final Duration MAX_FAILOVER_DELAY = Duration.ofSeconds(6);

    /** The longest time between two heartbeats of a healthy worker, in quarters of the heartbeat interval. */
    private static final int MAX_HEARTBEAT_INTERVAL_QUARTERS = 5;

    private final ControllerContext context;

    WorkerReachability(ControllerContext context) {
        this.context = context;
    }

    /** The address of a machine's worker: the last reported one, or the stored one if none was reported. */
    String address(MachineRecord machine) {
        return context.workers()
                .lastHeartbeat(machine.id())
                .map(WorkerHeartbeat::address)
                .orElse(machine.address());
    }

    /**
     * Whether this controller may send commands to a machine and act on its status: it owns the machine, and its replica contains the
     * change that made it the owner.
     */
    boolean canCommand(MachineRecord machine) {
        return context.membership().owns(machine)
                && context.replica().appliedRevision() >= context.replica().modRevision(Keys.machinePage(machine.id()));
    }

    /** Whether a machine accepts tasks: its last status carries the current fencing token, and commands reach it. */
    boolean isReady(MachineRecord machine) {
        Optional<WorkerState> worker = context.workers().find(machine.id());
        return worker.isPresent()
                && canCommand(machine)
                && !machine.draining()
                && worker.get()
                        .lastReportedToken()
                        .filter(token -> token == machine.token())
                        .isPresent()
                && worker.get().unansweredStartToken().isEmpty()
                && worker.get().commandsUnconfirmedSince().isEmpty();
    }

    /** How long commands to a machine have gone unanswered; empty while they are answered. */
    Optional<Duration> commandsBlockedFor(String machineId) {
        return context.workers()
                .find(machineId)
                .flatMap(WorkerState::commandsUnconfirmedSince)
                .map(context.pauseDetector()::observedTimeSince);
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
     * Whether a worker's heartbeats no longer arrive, although it may answer inspections: its lease is then about to expire. A worker
     * whose controller does not answer, or whose machine has a new owner, needs some seconds to find the right controller.
     */
    boolean areHeartbeatsOverdue(WorkerState worker) {
        return isOlderThan(worker.lastHeartbeatAt(), MAX_FAILOVER_DELAY);
    }

    /**
     * Whether a machine's last sign of life was longer ago than heartbeats may be late. A pause of this process doesn't shorten the time, so
     * this shows a failure only together with inspections that started after the pause.
     */
    boolean isSilent(Duration lastSeen) {
        return timeSince(lastSeen).compareTo(silenceLimit(context.settings().workers())) >= 0;
    }

    /** Whether a machine's next heartbeat is late, so that it is worth an inspection. */
    boolean isHeartbeatLate(Duration lastSeen) {
        Duration latest = Durations.fraction(
                context.settings().workers().heartbeatInterval(), MAX_HEARTBEAT_INTERVAL_QUARTERS, 4);
        return timeSince(lastSeen).compareTo(latest) > 0;
    }

    private Duration timeSince(Duration time) {
        return context.timeSource().now().minus(time);
    }

    /** The time without a sign of life after which a worker counts as silent. */
    static Duration silenceLimit(Settings.Workers workers) {
        return Durations.multiply(workers.heartbeatInterval(), 2).plus(MAX_HEARTBEAT_DELAY);
    }

    private boolean isOlderThan(Optional<Duration> lastSeen, Duration beyondTwoIntervals) {
        Duration limit = Durations.multiply(context.settings().workers().heartbeatInterval(), 2)
                .plus(beyondTwoIntervals);
        return lastSeen.isEmpty()
                || context.pauseDetector().observedTimeSince(lastSeen.get()).compareTo(limit) >= 0;
    }
}
