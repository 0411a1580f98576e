package org.dunespindle.worker;

import java.util.List;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.storage.MachineRecord;

/** Answers heartbeats of workers whose machines this controller owns. */
final class OwnedMachineResponder {
    private final WorkerClient workerClient;
    private final LeaseRenewal leaseRenewal;

    OwnedMachineResponder(WorkerClient workerClient, LeaseRenewal leaseRenewal) {
        this.workerClient = workerClient;
        this.leaseRenewal = leaseRenewal;
    }

    /** The reply to a heartbeat from a machine that this controller owns. */
    HeartbeatReply reply(ReceivedHeartbeat received, MachineRecord machine) {
        if (!received.acceptsTokenOf(machine)) {
            return new HeartbeatReply.Unavailable("the fencing token of the machine is being raised");
        }
        return isConclusive(received, machine)
                ? leaseRenewal.renewWithCommands(machine, commands(received, machine))
                : leaseRenewal.renew(received, machine);
    }

    /** Whether the heartbeat is a conclusive status of the machine, and the replica contains what is allocated there. */
    private boolean isConclusive(ReceivedHeartbeat received, MachineRecord machine) {
        WorkerState worker = received.worker();
        return received.newer()
                && received.hasTokenOf(machine)
                && worker.unansweredStartToken().isEmpty()
                && !worker.callInFlight()
                && workerClient.canCommand(machine);
    }

    /**
     * The commands for the reply. Halts in a reply reach a worker that this controller cannot reach, and forgets are not urgent. Starts
     * are sent only by direct command.
     */
    private List<WorkerCommand> commands(ReceivedHeartbeat received, MachineRecord machine) {
        return workerClient
                .statusReconciliation()
                .reconcile(machine, received.worker(), received.heartbeat())
                .commands()
                .stream()
                .filter(command -> !(command instanceof WorkerCommand.Run))
                .toList();
    }
}
