package org.dunespindle.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.peer.MachineStatus;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.worker.WorkerClient;

/** The status of the machines that this controller owns, for its own planning and for its heartbeats to the leader. */
public final class MachineStatusReporter {
    /** The published time without a heartbeat is rounded down to this step, to limit the number of status changes. */
    private static final int HEARTBEAT_AGE_STEP_SECONDS = 3;

    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final Quarantine quarantine;
    private final MachineTerminator terminator;
    /** Tasks are placed only on machines that were last known to be alive within this time. */
    private final Duration placementTimeout;

    private long lastSequence;

    /** Creates a reporter; sequence numbers start at 1. */
    public MachineStatusReporter(
            ControllerContext context, WorkerClient workerClient, Quarantine quarantine, MachineTerminator terminator) {
        this.context = context;
        this.workerClient = workerClient;
        this.quarantine = quarantine;
        this.terminator = terminator;
        this.placementTimeout =
                context.settings().workers().heartbeatInterval().multipliedBy(3).plusSeconds(1);
    }

    /** The status of every owned machine with a heartbeat, sorted by sequence number. A changed status gets a new sequence number. */
    public List<MachineStatus> ownedMachineStatuses() {
        var statuses = new ArrayList<MachineStatus>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (context.membership().owns(machine)) {
                context.workers()
                        .find(machine.id())
                        .filter(worker -> worker.lastHeartbeatAt().isPresent())
                        .ifPresent(worker -> statuses.add(status(machine, worker)));
            }
        }
        statuses.sort(Comparator.comparingLong(MachineStatus::sequence));
        return statuses;
    }

    private MachineStatus status(MachineRecord machine, WorkerState worker) {
        boolean up = isSchedulable(machine);
        boolean quarantined = quarantine.isQuarantined(machine.id());
        Duration heartbeatAge = up ? Duration.ZERO : heartbeatAge(worker);
        String state = up ? "u" : "d" + heartbeatAge.toSeconds() / HEARTBEAT_AGE_STEP_SECONDS;
        String fingerprint =
                machine.token() + state + quarantined + worker.images().hashCode();
        if (!fingerprint.equals(worker.lastPublished())) {
            worker.published(fingerprint, ++lastSequence);
        }
        String address =
                worker.lastHeartbeat().map(heartbeat -> heartbeat.address()).orElse(machine.address());
        return new MachineStatus(
                machine.id(),
                worker.lastPublishedSequence(),
                machine.token(),
                up,
                quarantined,
                heartbeatAge,
                address,
                worker.images());
    }

    private Duration heartbeatAge(WorkerState worker) {
        Duration lastHeartbeatAt = worker.lastHeartbeatAt().orElseThrow();
        Optional<Duration> unconfirmedBefore =
                worker.commandsUnconfirmedSince().filter(since -> since.compareTo(lastHeartbeatAt) < 0);
        // Without regard to a pause of this process, whose end is no sign of life of the machine.
        return context.timeSource().now().minus(unconfirmedBefore.orElse(lastHeartbeatAt));
    }

    /** Whether new tasks may be placed on a machine owned here. */
    public boolean isSchedulable(MachineRecord machine) {
        if (!workerClient.isReady(machine)
                || quarantine.isQuarantined(machine.id())
                || terminator.isTerminating(machine)) {
            return false;
        }
        WorkerState worker = context.workers().getOrCreate(machine.id());
        boolean hasInterruptionNotice = worker.lastHeartbeat()
                .flatMap(heartbeat -> heartbeat.interruptionNotice())
                .isPresent();
        return !hasInterruptionNotice && !workerClient.areHeartbeatsOverdue(worker) && isSeenAlive(worker);
    }

    /** Whether an owned machine is about to be terminated, while tasks may still run on it. */
    public boolean isDeparting(MachineRecord machine) {
        boolean hasInterruptionNotice = context.workers()
                .find(machine.id())
                .flatMap(worker -> worker.lastHeartbeat())
                .flatMap(heartbeat -> heartbeat.interruptionNotice())
                .isPresent();
        return hasInterruptionNotice || machine.draining() || quarantine.isQuarantined(machine.id());
    }

    private boolean isSeenAlive(WorkerState worker) {
        Optional<Duration> lastSeen = worker.lastSeenAlive();
        return lastSeen.isPresent()
                && context.timeSource().now().minus(lastSeen.get()).compareTo(placementTimeout) < 0;
    }
}
