package org.dunespindle.peer;

import java.util.ArrayList;
import java.util.List;

/**
 * The machine reports of one heartbeat. They continue an earlier batch: the receiver applies them only if it has applied all
 * reports up to {@code afterSequence}.
 *
 * @param afterSequence the last sequence that the receiver acknowledged
 * @param reports the reports that changed since then, up to the limits of a heartbeat
 * @param throughSequence the sequence up to which the receiver is complete once it has applied the reports
 */
record MachineReportBatch(long afterSequence, List<MachineReport> reports, long throughSequence) {
    /** Limit of the reports in one heartbeat. After a failover all machines of a large fleet are reported at the same time. */
    private static final int MAX_REPORTS = 4000;
    /** Limit of the reports' length in a message: the receiver reads at most one mebibyte. The remaining reports follow in the next one. */
    private static final int MAX_CHARACTERS = 600_000;

    /** Selects the reports after an acknowledged sequence, from statuses that are sorted by sequence. */
    static MachineReportBatch select(List<MachineStatus> statuses, long acknowledgedSequence) {
        var reports = new ArrayList<MachineReport>();
        long throughSequence = acknowledgedSequence;
        int characters = 0;
        for (MachineStatus status : statuses) {
            if (reports.size() >= MAX_REPORTS || characters >= MAX_CHARACTERS) {
                break;
            }
            if (status.sequence() > acknowledgedSequence) {
                MachineReport report = status.toReport();
                reports.add(report);
                characters += report.estimatedLength();
                throughSequence = status.sequence();
            }
        }
        return new MachineReportBatch(acknowledgedSequence, reports, throughSequence);
    }
}
