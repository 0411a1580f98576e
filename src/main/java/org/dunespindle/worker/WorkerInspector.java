package org.dunespindle.worker;

import java.time.Duration;
import java.util.function.Consumer;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** Asks workers for their status: only an answer shows that a worker is up and that calls from here reach it. */
final class WorkerInspector {
    private static final Duration INSPECTION_TIMEOUT = Duration.ofMillis(1500);
    private static final byte[] NO_BODY = new byte[0];
    private final WorkerRegistry workers;
    private final HttpClient httpClient;
    private final ConcurrentCallLimiter callLimiter;
    private final ReconciliationQueue reconciliationQueue;
    private final WorkerStatusRecorder statusRecorder;

    WorkerInspector(
            WorkerRegistry workers,
            HttpClient httpClient,
            ConcurrentCallLimiter callLimiter,
            ReconciliationQueue reconciliationQueue,
            WorkerStatusRecorder statusRecorder) {
        this.workers = workers;
        this.httpClient = httpClient;
        this.callLimiter = callLimiter;
        this.reconciliationQueue = reconciliationQueue;
        this.statusRecorder = statusRecorder;
    }

    /**
     * Asks the sender of a heartbeat, which may be a late copy.
     *
     * @param onResult receives whether the worker answered; false at once if too many calls are in flight
     */
    void inspectSender(WorkerHeartbeat heartbeat, WorkerState worker, Consumer<Boolean> onResult) {
        if (callLimiter.isFull()) {
            onResult.accept(false);
            return;
        }
        send(heartbeat.machineId(), heartbeat.address(), worker, onResult);
    }

    /**
     * Asks a machine's worker, unless it has no known address, is being asked already, or too many calls are in flight.
     *
     * @param onResult receives whether the worker answered; not called if it is not asked
     */
    void inspect(MachineRecord machine, String address, Consumer<Boolean> onResult) {
        WorkerState worker = workers.getOrCreate(machine.id());
        if (!address.isEmpty() && !worker.inspectionInFlight() && !callLimiter.isFull()) {
            send(machine.id(), address, worker, onResult);
        }
    }

    private void send(String machineId, String address, WorkerState worker, Consumer<Boolean> onResult) {
        worker.inspectionStarted();
        callLimiter.callStarted(false);
        httpClient
                .send(address, "GET", "/inspect", NO_BODY, MessagePackCodec.TYPE, INSPECTION_TIMEOUT)
                .whenComplete((response, failure) -> {
                    worker.inspectionEnded();
                    callLimiter.callEnded(false, reconciliationQueue::add);
                    onResult.accept(isAnswer(machineId, worker, response));
                });
    }

    private boolean isAnswer(String machineId, WorkerState worker, HttpClientResponse response) {
        return response != null
                && response.status() == 200
                && statusRecorder.recordAnswer(machineId, worker, response.body());
    }
}
