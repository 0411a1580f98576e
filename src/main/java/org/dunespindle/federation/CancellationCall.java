package org.dunespindle.federation;

import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.storage.JobRecord;

/** Requests a job's cancellation from up to two controllers of a cell in turn, until one reports the transfer's stored state. */
final class CancellationCall {
    private final CellConnection connection;
    private final CellRequest request;
    private final Transfer transfer;
    private final Consumer<InboundJobStatus> onStatus;
    private final Consumer<JobDelegation.Cancellation> onOutcome;
    private int attemptsLeft;

    private CancellationCall(
            CellConnection connection,
            CellRequest request,
            Transfer transfer,
            Consumer<InboundJobStatus> onStatus,
            Consumer<JobDelegation.Cancellation> onOutcome) {
        this.connection = connection;
        this.request = request;
        this.transfer = transfer;
        this.onStatus = onStatus;
        this.onOutcome = onOutcome;
        this.attemptsLeft = Math.min(2, connection.controllerCount());
    }

    /**
     * Sends the first request.
     *
     * @param onStatus receives the transfer's status as soon as the remote cell reports it
     * @param onOutcome receives the outcome; {@code UNKNOWN} if no controller reported one
     */
    static void start(
            CellConnection connection,
            CellId self,
            String identity,
            JobRecord job,
            Consumer<InboundJobStatus> onStatus,
            Consumer<JobDelegation.Cancellation> onOutcome) {
        var transfer =
                new Transfer(job.id(), job.outboundDelegation().orElseThrow().transfer());
        var request = new CellRequest.Cancel(self, identity, transfer);
        new CancellationCall(connection, request, transfer, onStatus, onOutcome).attempt();
    }

    private void attempt() {
        if (attemptsLeft-- == 0) {
            onOutcome.accept(JobDelegation.Cancellation.UNKNOWN);
            return;
        }
        connection.call(request, this::onReply, this::attempt);
    }

    private void onReply(CellReply reply) {
        Optional<InboundJobStatus> report = reply instanceof CellReply.Reports reports
                ? reports.reports().stream()
                        .filter(status -> status.transfer().equals(transfer))
                        .findFirst()
                : Optional.empty();
        if (report.isEmpty()) {
            attempt();
            return;
        }
        onStatus.accept(report.get());
        onOutcome.accept(
                switch (report.get().state()) {
                    case CANCELLED -> JobDelegation.Cancellation.CANCELLED;
                    case DONE -> JobDelegation.Cancellation.DONE;
                    case WITHDRAWN -> JobDelegation.Cancellation.NEVER_HELD;
                    case UNKNOWN, QUEUED, BEGUN, CLOSED -> JobDelegation.Cancellation.UNKNOWN;
                });
    }
}
