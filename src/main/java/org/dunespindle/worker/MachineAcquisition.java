package org.dunespindle.worker;

import java.time.Instant;
import java.util.function.Consumer;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.TransactionResult;

/** Makes this controller the owner of machines. */
final class MachineAcquisition {
    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;

    MachineAcquisition(ControllerContext context, MachineRecordWriter machineWriter) {
        this.context = context;
        this.machineWriter = machineWriter;
    }

    /**
     * Makes this controller a machine's owner, under a fencing token higher than any that its worker is known to have seen.
     *
     * @param address the worker's address, so that commands can be sent before its first heartbeat here
     * @param keepUntil the time before which the machine is not released to another controller
     */
    void acquire(MachineRecord machine, String address, Instant keepUntil, Consumer<TransactionResult> onResult) {
        MachineRecord owned = machine.ownedBy(
                        context.settings().nodeName(), context.membership().incarnation(), keepUntil)
                .withAddress(address);
        long seenToken = context.workers()
                .find(machine.id())
                .flatMap(worker -> worker.lastReportedToken())
                .orElse(0L);
        machineWriter.write(CommitPriority.PLACEMENT, owned.withTokenAbove(seenToken), onResult);
    }
}
