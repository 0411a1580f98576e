package org.dunespindle.worker;

import java.time.Duration;
import java.util.function.Consumer;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** Inspects workers, that is, requests their status: only an answer shows that a worker is up and that calls from here reach it. */
final class WorkerInspector {
    private static final Duration INSPECTION_TIMEOUT = Duration.ofMillis(1500);
    private static final byte[] NO_BODY = new byte[0];
    private final WorkerRegistry workers;
    private final HttpClient httpClient;
    private final ConcurrentCallLimiter callLimiter;
    private final ReconciliationQueue reconciliationQueue;
    private final WorkerStatusRecorder statusRecorder;
    private final TimeSource timeSource;

    WorkerInspector(
            WorkerRegistry workers,
            HttpClient httpClient,
            ConcurrentCallLimiter callLimiter,
            ReconciliationQueue reconciliationQueue,
            WorkerStatusRecorder statusRecorder,
            TimeSource timeSource) {
        this.workers = workers;
        this.httpClient = httpClient;
        this.callLimiter = callLimiter;
        this.reconciliationQueue = reconciliationQueue;
        this.statusRecorder = statusRecorder;
        this.timeSource = timeSource;
    }

    /**
     * Inspects the sender of a heartbeat, which may be a late copy.
     *
     * @param onResult receives whether the worker answered; false immediately if too many calls are in flight
     */
    void inspectSender(WorkerHeartbeat heartbeat, WorkerState worker, Consumer<Boolean> onResult) {
        if (callLimiter.isFull()) {
            onResult.accept(false);
            return;
        }
        send(heartbeat.machineId(), heartbeat.address(), worker, onResult);
    }

    /**
     * Inspects a machine's worker, unless its address is unknown, an inspection is in flight already, or too many calls are.
     *
     * @param onResult receives whether the worker answered; not called if no request is sent
     */
    void inspect(MachineRecord machine, String address, Consumer<Boolean> onResult) {
        WorkerState worker = workers.getOrCreate(machine.id());
        if (!address.isEmpty() && !worker.inspectionInFlight() && !callLimiter.isFull()) {
            send(machine.id(), address, worker, onResult);
        }
    }

    private void send(String machineId, String address, WorkerState worker, Consumer<Boolean> onResult) {
        worker.inspectionStarted(timeSource.now());
        callLimiter.callStarted(false);
        httpClient
                .send(address, "GET", "/inspect", NO_BODY, MessagePackCodec.CONTENT_TYPE, INSPECTION_TIMEOUT)
                .whenComplete((response, failure) -> {
                    boolean answered = isAnswer(machineId, worker, response);
                    worker.inspectionEnded(answered);
                    callLimiter.callEnded(false, reconciliationQueue::add);
                    onResult.accept(answered);
                });
    }

    private boolean isAnswer(String machineId, WorkerState worker, HttpClientResponse response) {
        return response != null
                && response.status() == 200
                && statusRecorder.recordAnswer(machineId, worker, response.body());
    }
}
