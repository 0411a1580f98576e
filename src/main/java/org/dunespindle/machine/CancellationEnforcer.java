package org.dunespindle.machine;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.worker.CancellationDeadlines;
import org.dunespindle.worker.FailureDetector;

/**
 * Terminates silent machines with tasks of cancelled jobs before these outlast the cancellation timeout. Users were promised that end,
 * whatever else speaks for keeping a machine: an outage of its zone or of the state service, a new owner or leader, operators' options.
 *
 * <p>It runs on every controller, and needs neither leadership nor a write: a termination can be repeated, and only the cloud's answer
 * proves it. So the end, a pause or a resignation of one controller leaves it to another one. The leader acts first, since it knows most
 * about the machines.
 */
public final class CancellationEnforcer {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    /** How long the leader alone may act. */
    private static final Duration LEADER_PRECEDENCE = Duration.ofSeconds(4);
    /** The replica staleness from which on a leader can neither be replaced nor known to have resigned. */
    private static final Duration MIN_STALENESS_OF_OUTAGE = Duration.ofSeconds(4);

    private final ControllerContext context;
    private final CancellationDeadlines deadlines;
    private final FailureDetector failureDetector;
    private final PeerHeartbeats peerHeartbeats;
    private final MachineTerminator terminator;
    private Duration nextCheckAt = Duration.ZERO;

    /** On which machines this controller may act. */
    private enum Scope {
        ALL_MACHINES,
        /** Only in zones from which other machines are heard: this controller can't tell whether it is cut off from the rest. */
        ZONES_HEARD
    }

    /**
     * A controller's right to act.
     *
     * @param precedence how long it leaves due tasks to others
     */
    private record Mandate(Scope scope, Duration precedence) {}

    /** Creates an enforcer; it acts only when called. */
    public CancellationEnforcer(
            ControllerContext context,
            CancellationDeadlines deadlines,
            FailureDetector failureDetector,
            PeerHeartbeats peerHeartbeats,
            MachineTerminator terminator) {
        this.context = context;
        this.deadlines = deadlines;
        this.failureDetector = failureDetector;
        this.peerHeartbeats = peerHeartbeats;
        this.terminator = terminator;
    }

    /** Inspects silent machines whose cancelled tasks are due, and terminates those that don't answer. */
    public void tick() {
        Duration now = context.timeSource().now();
        if (now.compareTo(nextCheckAt) < 0) {
            return;
        }
        nextCheckAt = now.plus(CHECK_INTERVAL);
        deadlines.update();
        Map<String, Duration> dueMachines = deadlines.dueMachines();
        if (!dueMachines.isEmpty()) {
            mandate().ifPresent(mandate -> act(mandate, dueMachines, now));
        }
    }

    private void act(Mandate mandate, Map<String, Duration> dueMachines, Duration now) {
        dueMachines.forEach((machineId, dueAt) -> {
            MachineRecord machine = context.replica().machines().get(machineId);
            if (machine == null || terminator.isTerminated(machineId) || terminator.isMarked(machineId)) {
                return;
            }
            // A machine is inspected before this controller may act, so that the result is known by then.
            boolean silent = failureDetector.isProvenSilent(machine);
            boolean mayAct = now.compareTo(dueAt.plus(mandate.precedence)) >= 0 && includes(mandate.scope, machine);
            if (silent && mayAct) {
                terminator.terminateWithoutDrain(machine, DrainReason.CANCELLED_TASKS_DUE);
            }
        });
        terminator.terminateMarked();
    }

    private boolean includes(Scope scope, MachineRecord machine) {
        return scope == Scope.ALL_MACHINES || failureDetector.isZoneHeard(machine.zone());
    }

    /** This controller's right to act; empty while it is left to others, or while only this controller is cut off. */
    private Optional<Mandate> mandate() {
        boolean stateServiceOut = context.replica().staleness().compareTo(MIN_STALENESS_OF_OUTAGE) >= 0;
        if (stateServiceOut && peerHeartbeats.hearsControllerWithFreshReplica()) {
            return Optional.empty();
        }
        if (stateServiceOut && !peerHeartbeats.hearsMajority()) {
            return Optional.of(new Mandate(Scope.ZONES_HEARD, LEADER_PRECEDENCE));
        }
        if (context.membership().isLeader()) {
            return Optional.of(new Mandate(Scope.ALL_MACHINES, Duration.ZERO));
        }
        boolean standsIn = stateServiceOut || (peerHeartbeats.hearsMajority() && !isLeaderHeard());
        return standsIn ? Optional.of(new Mandate(Scope.ALL_MACHINES, LEADER_PRECEDENCE)) : Optional.empty();
    }

    private boolean isLeaderHeard() {
        return context.membership()
                .leaderRecord()
                .flatMap(leader -> peerHeartbeats
                        .recentHeartbeat(leader.node())
                        .filter(peer -> peer.incarnation() == leader.incarnation()))
                .isPresent();
    }
}
