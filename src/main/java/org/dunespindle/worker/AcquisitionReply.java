package org.dunespindle.worker;

import java.util.List;
import java.util.function.Consumer;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.TransactionResult;

/** Answers a worker's heartbeat after the transaction that makes this controller its machine's owner. */
final class AcquisitionReply {
    static final HeartbeatReply FAILED =
            new HeartbeatReply.Unavailable("this controller could not become the owner of the machine");

    private AcquisitionReply() {}

    /** A callback for the transaction's result that answers the heartbeat. */
    static Consumer<TransactionResult> after(
            ControllerContext context, String machineId, Consumer<HeartbeatReply> replyTo) {
        return result -> {
            MachineRecord machine = context.replica().machines().get(machineId);
            boolean acquired = result instanceof TransactionResult.Applied
                    && machine != null
                    && context.membership().owns(machine);
            replyTo.accept(acquired ? new HeartbeatReply.Commands(machine.token(), List.of()) : FAILED);
        };
    }
}
