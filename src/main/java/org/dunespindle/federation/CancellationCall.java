package org.dunespindle.federation;

import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.storage.JobRecord;

/** Requests a job's cancellation from up to two controllers of a cell in turn, until one reports the transfer's stored state. */
final class CancellationCall {
    private final CellConnection contact;
    private final CellRequest request;
    private final Transfer transfer;
    private final Consumer<InboundJobStatus> heard;
    private final Consumer<JobDelegation.Cancellation> then;
    private int left;

    private CancellationCall(
            CellConnection contact,
            CellRequest request,
            Transfer transfer,
            Consumer<InboundJobStatus> heard,
            Consumer<JobDelegation.Cancellation> then) {
        this.contact = contact;
        this.request = request;
        this.transfer = transfer;
        this.heard = heard;
        this.then = then;
        this.left = Math.min(2, contact.controllerCount());
    }

    /**
     * Sends the first request.
     *
     * @param heard receives the transfer's status as soon as the remote cell reports it
     * @param then receives the outcome; {@code UNKNOWN} if no controller reported one
     */
    static void start(
            CellConnection contact,
            CellId self,
            String identity,
            JobRecord job,
            Consumer<InboundJobStatus> heard,
            Consumer<JobDelegation.Cancellation> then) {
        var transfer =
                new Transfer(job.id(), job.outboundDelegation().orElseThrow().transfer());
        var request = new CellRequest.Cancel(self, identity, transfer);
        new CancellationCall(contact, request, transfer, heard, then).ask();
    }

    private void ask() {
        if (left-- == 0) {
            then.accept(JobDelegation.Cancellation.UNKNOWN);
            return;
        }
        contact.call(request, this::answered, this::ask);
    }

    private void answered(CellReply reply) {
        Optional<InboundJobStatus> report = reply instanceof CellReply.Reports reports
                ? reports.reports().stream()
                        .filter(told -> told.transfer().equals(transfer))
                        .findFirst()
                : Optional.empty();
        if (report.isEmpty()) {
            ask();
            return;
        }
        heard.accept(report.get());
        then.accept(
                switch (report.get().state()) {
                    case CANCELLED -> JobDelegation.Cancellation.CANCELLED;
                    case DONE -> JobDelegation.Cancellation.DONE;
                    case WITHDRAWN -> JobDelegation.Cancellation.NOT_THERE;
                    case UNKNOWN, QUEUED, BEGUN, CLOSED -> JobDelegation.Cancellation.UNKNOWN;
                });
    }
}
