package org.dunespindle.federation;

import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.JobExchange;
import org.dunespindle.storage.JobRecord;

/** Asks one controller of a cell after another to store that a job is cancelled, until one tells that it has. */
final class CancellationCall {
    private final CellContact contact;
    private final CellRequest request;
    private final Transfer transfer;
    private final Consumer<VisitReport> heard;
    private final Consumer<JobExchange.Cancellation> then;
    private int left;

    private CancellationCall(
            CellContact contact,
            CellRequest request,
            Transfer transfer,
            Consumer<VisitReport> heard,
            Consumer<JobExchange.Cancellation> then) {
        this.contact = contact;
        this.request = request;
        this.transfer = transfer;
        this.heard = heard;
        this.then = then;
        this.left = Math.min(2, contact.controllerCount());
    }

    /**
     * Begins to ask.
     *
     * @param heard told how the transfer stands, as soon as that is known
     */
    static void start(
            CellContact contact,
            CellId self,
            String identity,
            JobRecord job,
            Consumer<VisitReport> heard,
            Consumer<JobExchange.Cancellation> then) {
        var transfer = new Transfer(job.id(), job.delegation().orElseThrow().transfer());
        var request = new CellRequest.Cancel(self, identity, transfer);
        new CancellationCall(contact, request, transfer, heard, then).ask();
    }

    private void ask() {
        if (left-- == 0) {
            then.accept(JobExchange.Cancellation.UNKNOWN);
            return;
        }
        contact.call(request, this::answered, this::ask);
    }

    private void answered(CellReply reply) {
        Optional<VisitReport> report = reply instanceof CellReply.Reports reports
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
                    case CANCELLED -> JobExchange.Cancellation.CANCELLED;
                    case DONE -> JobExchange.Cancellation.DONE;
                    case WITHDRAWN -> JobExchange.Cancellation.NOT_THERE;
                    case UNKNOWN, QUEUED, BEGUN, CLOSED -> JobExchange.Cancellation.UNKNOWN;
                });
    }
}
