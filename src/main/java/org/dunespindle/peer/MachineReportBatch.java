package org.dunespindle.peer;

import java.util.ArrayList;
import java.util.List;

/**
 * The machine reports of one heartbeat. They continue an earlier batch: the receiver applies them only if it has everything up
 * to {@code afterSequence}.
 *
 * @param afterSequence the sequence that the receiver acknowledged last
 * @param reports the reports that changed since, as many as fit
 * @param throughSequence the sequence up to which the receiver is complete once it has applied the reports
 */
record MachineReportBatch(long afterSequence, List<MachineReport> reports, long throughSequence) {
    /** Bound of the reports in one heartbeat. After a failover all machines of a large fleet are published at once. */
    private static final int MAX_REPORTS = 4000;
    /** Bound of what the reports take of a message, of which the receiver reads a mebibyte; the rest follows in the next one. */
    private static final int MAX_CHARACTERS = 600_000;

    /** Selects what follows an acknowledged sequence from statuses in order of their sequence. */
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
