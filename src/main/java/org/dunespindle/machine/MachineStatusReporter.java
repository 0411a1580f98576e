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

/** What this controller can tell the leader of the machines that it commands. */
public final class MachineStatusReporter {
    /** Silence is told anew in steps of so many seconds. */
    private static final int SILENCE_STEP = 3;

    private final ControllerContext context;
    private final WorkerClient workerClient;
    private final Quarantine quarantine;
    private final MachineTerminator terminator;
    /** A machine that takes tasks has been heard this lately. */
    private final Duration heardLately;

    private long lastNumber;

    public MachineStatusReporter(
            ControllerContext context, WorkerClient workerClient, Quarantine quarantine, MachineTerminator terminator) {
        this.context = context;
        this.workerClient = workerClient;
        this.quarantine = quarantine;
        this.terminator = terminator;
        this.heardLately = context.settings().workers().report().multipliedBy(3).plusSeconds(1);
    }

    /** The machines commanded here that have reported, numbered anew where something changed since it was last told. */
    public List<MachineStatus> all() {
        var list = new ArrayList<MachineStatus>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (context.membership().owns(machine)) {
                context.workers()
                        .find(machine.id())
                        .filter(worker -> worker.lastHeartbeatAt().isPresent())
                        .ifPresent(worker -> list.add(news(machine, worker)));
            }
        }
        list.sort(Comparator.comparingLong(MachineStatus::sequence));
        return list;
    }

    private MachineStatus news(MachineRecord machine, WorkerState worker) {
        boolean up = takesTasks(machine);
        boolean bad = quarantine.holds(machine.id());
        Duration silent = up ? Duration.ZERO : silence(worker);
        String state = up ? "u" : "d" + silent.toSeconds() / SILENCE_STEP;
        String told = machine.token() + state + bad + worker.images().hashCode();
        if (!told.equals(worker.lastPublished())) {
            worker.published(told, ++lastNumber);
        }
        String address =
                worker.lastHeartbeat().map(heartbeat -> heartbeat.address()).orElse(machine.address());
        return new MachineStatus(
                machine.id(),
                worker.lastPublishedSequence(),
                machine.token(),
                up,
                bad,
                silent,
                address,
                worker.images());
    }

    private Duration silence(WorkerState worker) {
        Duration heard = worker.lastHeartbeatAt().orElseThrow();
        Optional<Duration> unproven = worker.commandsUnconfirmedSince().filter(since -> since.compareTo(heard) < 0);
        return context.pauseDetector().silence(unproven.orElse(heard));
    }

    /** Whether new tasks may go to a machine commanded here. */
    public boolean takesTasks(MachineRecord machine) {
        if (!workerClient.ready(machine) || quarantine.holds(machine.id()) || terminator.leaves(machine)) {
            return false;
        }
        WorkerState worker = context.workers().getOrCreate(machine.id());
        boolean noticed =
                worker.lastHeartbeat().flatMap(heartbeat -> heartbeat.notice()).isPresent();
        return !noticed && !workerClient.mute(worker) && alive(worker);
    }

    /** Whether a machine commanded here will be gone soon, though what runs there may still run. */
    public boolean departs(MachineRecord machine) {
        boolean noticed = context.workers()
                .find(machine.id())
                .flatMap(worker -> worker.lastHeartbeat())
                .flatMap(heartbeat -> heartbeat.notice())
                .isPresent();
        return noticed || machine.draining() || quarantine.holds(machine.id());
    }

    private boolean alive(WorkerState worker) {
        Optional<Duration> at = worker.lastSeenAlive();
        return at.isPresent() && context.timeSource().now().minus(at.get()).compareTo(heardLately) < 0;
    }
}
