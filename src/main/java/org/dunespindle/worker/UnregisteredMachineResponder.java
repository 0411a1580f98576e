package org.dunespindle.worker;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers heartbeats from machines without a stored record, and registers the machines. A heartbeat may be a late copy from a machine
 * that was terminated long ago, so the worker is inspected first.
 */
final class UnregisteredMachineResponder {
    private static final Logger LOG = LoggerFactory.getLogger(UnregisteredMachineResponder.class);
    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final WorkerInspector inspector;

    UnregisteredMachineResponder(
            ControllerContext context, MachineRecordWriter machineWriter, WorkerInspector inspector) {
        this.context = context;
        this.machineWriter = machineWriter;
        this.inspector = inspector;
    }

    /** Answers a heartbeat, immediately or once the machine is registered. */
    void reply(ReceivedHeartbeat received, Consumer<HeartbeatReply> replyTo) {
        Optional<String> owner = context.membership().controllerOfMachine(received.machineId());
        if (!context.membership().isMember() || owner.isEmpty()) {
            replyTo.accept(new HeartbeatReply.Unavailable("not a member yet"));
        } else if (!owner.get().equals(context.settings().nodeName())) {
            replyTo.accept(new HeartbeatReply.Redirect(owner.get()));
        } else if (!received.newer()
                || received.worker().inspectionInFlight()
                || machineWriter.hasPendingChange(received.machineId())) {
            replyTo.accept(new HeartbeatReply.Unavailable("machine is being registered"));
        } else {
            inspector.inspectSender(
                    received.heartbeat(), received.worker(), alive -> registerIfAlive(received, alive, replyTo));
        }
    }

    private void registerIfAlive(ReceivedHeartbeat received, boolean alive, Consumer<HeartbeatReply> replyTo) {
        if (!alive || context.replica().machines().containsKey(received.machineId())) {
            replyTo.accept(AcquisitionReply.FAILED);
            return;
        }
        MachineRecord machine = newRecord(received);
        context.eventRecorder()
                .record(LOG, "machine {} sent a heartbeat but has no record; registering it", machine.id());
        machineWriter.write(CommitPriority.PLACEMENT, machine, AcquisitionReply.after(context, machine.id(), replyTo));
    }

    private MachineRecord newRecord(ReceivedHeartbeat received) {
        WorkerHeartbeat heartbeat = received.heartbeat();
        return new MachineRecord(
                heartbeat.machineId(),
                heartbeat.address(),
                heartbeat.type(),
                heartbeat.zone(),
                heartbeat.spot(),
                context.settings().nodeName(),
                context.membership().incarnation(),
                received.worker().lastReportedToken().orElse(heartbeat.token()) + 1,
                context.timeSource().wallTime(),
                Instant.EPOCH,
                false,
                "");
    }
}
