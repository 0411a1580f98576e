package org.dunespindle.worker;

import java.time.Duration;
import java.util.List;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends direct commands to workers, one call per worker at a time, and delays retries. */
final class WorkerCommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerCommandSender.class);
    static final int MAX_COMMANDS_PER_MESSAGE = 200;
    static final Duration RETRY_DELAY_AFTER_REFUSAL = Duration.ofMillis(200);
    private static final Duration RETRY_DELAY_AFTER_FAILURE = Duration.ofMillis(1000);
    /** Unresponsive workers are retried less often; their next heartbeat ends the delay. */
    private static final Duration RETRY_DELAY_WHILE_UNRESPONSIVE = Duration.ofSeconds(6);

    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(2500);
    /** The agent epoch in commands to a worker that has sent no status yet. */
    private static final long FIRST_AGENT_EPOCH = 1;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int MIN_SERVER_ERROR = 500;
    private final ControllerContext context;
    private final HttpClient httpClient;
    private final ConcurrentCallLimiter callLimiter;
    private final ReconciliationQueue reconciliationQueue;
    private final WorkerReachability reachability;
    private final WorkerStatusRecorder statusRecorder;
    private final EffectiveAllocations allocations;
    private long callCount;

    private record Call(
            String machineId, WorkerState worker, long token, boolean containsStart, boolean unresponsive) {}

    WorkerCommandSender(
            ControllerContext context,
            HttpClient httpClient,
            ConcurrentCallLimiter callLimiter,
            ReconciliationQueue reconciliationQueue,
            WorkerReachability reachability,
            WorkerStatusRecorder statusRecorder,
            EffectiveAllocations allocations) {
        this.context = context;
        this.httpClient = httpClient;
        this.callLimiter = callLimiter;
        this.reconciliationQueue = reconciliationQueue;
        this.reachability = reachability;
        this.statusRecorder = statusRecorder;
        this.allocations = allocations;
    }

    /** The number of calls so far. */
    long callCount() {
        return callCount;
    }

    /**
     * Sends commands to a machine's worker, up to the limit of one message. A call without commands carries the current fencing
     * token, halts tasks of cancelled jobs, and shows whether commands reach the worker.
     */
    void send(MachineRecord machine, WorkerState worker, List<WorkerCommand> requested) {
        String address = reachability.address(machine);
        if (address.isEmpty() || worker.callDelayed(context.timeSource().now())) {
            return; // a timer schedules the next reconciliation
        }
        boolean unresponsive = reachability.isUnresponsive(worker);
        if (callLimiter.isFull(unresponsive)) {
            callLimiter.enqueue(machine.id());
            return;
        }
        List<WorkerCommand> commands = commandsToSend(worker, requested);
        long agentEpoch =
                worker.lastHeartbeat().map(WorkerHeartbeat::agentEpoch).orElse(FIRST_AGENT_EPOCH);
        boolean containsStart = commands.stream().anyMatch(WorkerCommand.Run.class::isInstance);
        var call = new Call(machine.id(), worker, machine.token(), containsStart, unresponsive);
        worker.callStarted(machine.token(), agentEpoch, commands);
        callCount++;
        callLimiter.callStarted(unresponsive);
        byte[] body = MessagePackCodec.write(WorkerCommand.command(machine.token(), agentEpoch, commands));
        httpClient
                .send(address, "POST", "/orders", body, MessagePackCodec.CONTENT_TYPE, COMMAND_TIMEOUT)
                .whenComplete((response, failure) -> callEnded(call, response, failure));
    }

    private List<WorkerCommand> commandsToSend(WorkerState worker, List<WorkerCommand> requested) {
        List<WorkerCommand> commands = requested.isEmpty()
                ? worker.lastHeartbeat().map(allocations::haltsOfCancelledTasks).orElse(requested)
                : requested;
        return commands.size() > MAX_COMMANDS_PER_MESSAGE ? commands.subList(0, MAX_COMMANDS_PER_MESSAGE) : commands;
    }

    private void callEnded(Call call, HttpClientResponse response, Throwable failure) {
        call.worker.callEnded();
        callLimiter.callEnded(call.unresponsive, reconciliationQueue::add);
        reconciliationQueue.incrementVersion();
        if (response != null && (response.status() == OK || response.status() == CONFLICT)) {
            handleAnswer(call, response);
        } else {
            handleFailure(call, response, failure);
        }
    }

    private void handleAnswer(Call call, HttpClientResponse response) {
        boolean readable = statusRecorder.recordAnswer(call.machineId, call.worker, response.body());
        if (!readable && call.containsStart) {
            recordUnansweredStart(call);
        }
        if (response.status() == OK) {
            call.worker.nextCallNotBefore(context.timeSource().now());
            reconciliationQueue.addAndWake(call.machineId);
        } else {
            retryAfter(call, RETRY_DELAY_AFTER_REFUSAL);
        }
    }

    private void handleFailure(Call call, HttpClientResponse response, Throwable failure) {
        if (call.worker.lastHeartbeat().isPresent()) {
            call.worker.callUnanswered(context.timeSource().now()); // a worker without any status may still be booting
        }
        boolean mayHaveTakenEffect =
                response == null ? mayHaveBeenSent(failure) : response.status() >= MIN_SERVER_ERROR;
        if (call.containsStart && mayHaveTakenEffect) {
            recordUnansweredStart(call);
        }
        retryAfter(call, call.unresponsive ? RETRY_DELAY_WHILE_UNRESPONSIVE : RETRY_DELAY_AFTER_FAILURE);
    }

    private static boolean mayHaveBeenSent(Throwable failure) {
        return !(HttpCallException.cause(failure) instanceof HttpCallException callFailure) || callFailure.sent();
    }

    private void recordUnansweredStart(Call call) {
        call.worker.startUnanswered(call.token, context.timeSource().now());
        context.eventRecorder()
                .record(
                        LOG,
                        "machine {} did not answer a start; it is fenced before its status is used",
                        call.machineId);
    }

    private void retryAfter(Call call, Duration delay) {
        call.worker.nextCallNotBefore(context.timeSource().now().plus(delay));
        context.timeSource().schedule(delay, () -> reconciliationQueue.addAndWake(call.machineId));
    }
}
