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
    private final MachineTerminator returner;
    /** A machine that takes tasks has been heard this lately. */
    private final Duration heardLately;

    private long lastNumber;

    public MachineStatusReporter(
            ControllerContext context, WorkerClient workerClient, Quarantine quarantine, MachineTerminator returner) {
        this.context = context;
        this.workerClient = workerClient;
        this.quarantine = quarantine;
        this.returner = returner;
        this.heardLately = context.settings().workers().report().multipliedBy(3).plusSeconds(1);
    }

    /** The machines commanded here that have reported, numbered anew where something changed since it was last told. */
    public List<MachineStatus> all() {
        var list = new ArrayList<MachineStatus>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (context.membership().owns(machine)) {
                context.workers()
                        .find(machine.id())
                        .filter(session -> session.lastHeartbeatAt.isPresent())
                        .ifPresent(session -> list.add(news(machine, session)));
            }
        }
        list.sort(Comparator.comparingLong(MachineStatus::sequence));
        return list;
    }

    private MachineStatus news(MachineRecord machine, WorkerState session) {
        boolean up = takesTasks(machine);
        boolean bad = quarantine.holds(machine.id());
        Duration silent = up ? Duration.ZERO : silence(session);
        String state = up ? "u" : "d" + silent.toSeconds() / SILENCE_STEP;
        String told = machine.token() + state + bad + session.images().hashCode();
        if (!told.equals(session.lastPublished)) {
            session.lastPublished = told;
            session.lastPublishedSequence = ++lastNumber;
        }
        String address = session.lastHeartbeat.map(report -> report.address()).orElse(machine.address());
        return new MachineStatus(
                machine.id(), session.lastPublishedSequence, machine.token(), up, bad, silent, address, session.images());
    }

    private Duration silence(WorkerState session) {
        Duration heard = session.lastHeartbeatAt.orElseThrow();
        Optional<Duration> unproven = session.commandsUnconfirmedSince.filter(since -> since.compareTo(heard) < 0);
        return context.pauseDetector().silence(unproven.orElse(heard));
    }

    /** Whether new tasks may go to a machine commanded here. */
    public boolean takesTasks(MachineRecord machine) {
        if (!workerClient.ready(machine) || quarantine.holds(machine.id()) || returner.leaves(machine)) {
            return false;
        }
        WorkerState session = context.workers().getOrCreate(machine.id());
        boolean noticed = session.lastHeartbeat.flatMap(report -> report.notice()).isPresent();
        return !noticed && !workerClient.mute(session) && alive(session);
    }

    /** Whether a machine commanded here will be gone soon, though what runs there may still run. */
    public boolean departs(MachineRecord machine) {
        boolean noticed = context.workers()
                .find(machine.id())
                .flatMap(session -> session.lastHeartbeat)
                .flatMap(report -> report.notice())
                .isPresent();
        return noticed || machine.draining() || quarantine.holds(machine.id());
    }

    private boolean alive(WorkerState session) {
        Optional<Duration> at = session.lastSeenAlive();
        return at.isPresent() && context.timeSource().now().minus(at.get()).compareTo(heardLately) < 0;
    }
}
