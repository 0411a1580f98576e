package org.dunespindle.worker;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the status that workers send, in heartbeats and in answers, and schedules reconciliation of a machine whose status changed.
 * This must happen for every status, regardless of its source and of the reply: if the next status is the same, it no longer counts
 * as a change.
 */
final class WorkerStatusRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerStatusRecorder.class);
    private final ControllerContext context;
    private final ReconciliationQueue reconciliationQueue;
    private final Set<String> machinesWithInterruptionNotice = new LinkedHashSet<>();

    WorkerStatusRecorder(ControllerContext context, ReconciliationQueue reconciliationQueue) {
        this.context = context;
        this.reconciliationQueue = reconciliationQueue;
    }

    /**
     * Records a heartbeat.
     *
     * @return whether it is newer than the last recorded status
     */
    boolean recordHeartbeat(WorkerHeartbeat heartbeat, WorkerState worker) {
        Optional<WorkerHeartbeat> previous = worker.lastHeartbeat();
        boolean newer = worker.acceptHeartbeat(heartbeat, context.timeSource().now());
        recordInterruptionNotice(heartbeat);
        if (newer) {
            reconcileIfChanged(heartbeat, previous);
        }
        return newer;
    }

    /**
     * Records the status in a worker's answer to a command or an inspection.
     *
     * @return whether the answer is a readable status of this machine
     */
    boolean recordAnswer(String machineId, WorkerState worker, byte[] body) {
        WorkerHeartbeat status;
        try {
            status = WorkerHeartbeat.parse(MessagePackCodec.read(body));
        } catch (MalformedMessageException e) {
            LOG.debug("malformed worker status ignored machine={} error={}", machineId, e.getMessage());
            return false;
        }
        if (!status.machineId().equals(machineId)) {
            LOG.debug("worker status of another machine ignored machine={} sender={}", machineId, status.machineId());
            return false;
        }
        recordInterruptionNotice(status);
        Optional<WorkerHeartbeat> previous = worker.lastHeartbeat();
        worker.statusAnswered(status, context.timeSource().now());
        reconcileIfChanged(status, previous);
        return true;
    }

    /** The machines whose last status carries a spot interruption notice: their cloud is about to reclaim them. */
    Set<String> machinesWithInterruptionNotice() {
        machinesWithInterruptionNotice.removeIf(machineId -> context.workers()
                .lastHeartbeat(machineId)
                .flatMap(WorkerHeartbeat::interruptionNotice)
                .isEmpty());
        return machinesWithInterruptionNotice;
    }

    private void recordInterruptionNotice(WorkerHeartbeat status) {
        if (status.interruptionNotice().isPresent()) {
            machinesWithInterruptionNotice.add(status.machineId());
        }
    }

    private void reconcileIfChanged(WorkerHeartbeat status, Optional<WorkerHeartbeat> previous) {
        if (previous.filter(earlier -> earlier.hasSameStateAs(status)).isEmpty()) {
            reconciliationQueue.incrementVersion();
            reconciliationQueue.addAndWake(status.machineId());
        }
    }
}
