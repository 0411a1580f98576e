package org.dunespindle.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;

/** The last machine reports received from the other controllers. */
final class MachineDirectory {
    private final TimeSource timeSource;
    private final PeerView peerView;
    private final Map<String, PublishedMachines> machinesByController = new HashMap<>();

    /** The machines that one incarnation of a controller has reported. */
    private static final class PublishedMachines {
        final long incarnation;
        final Map<String, ReportedMachine> machines = new HashMap<>();
        long appliedSequence;

        PublishedMachines(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    MachineDirectory(TimeSource timeSource, PeerView peerView) {
        this.timeSource = timeSource;
        this.peerView = peerView;
    }

    /** Discards the reports of a controller's earlier incarnations. */
    void beginIncarnation(String controller, long incarnation) {
        PublishedMachines published = machinesByController.get(controller);
        if (published == null || published.incarnation != incarnation) {
            machinesByController.put(controller, new PublishedMachines(incarnation));
        }
    }

    /** Whether a batch continues the applied reports of a controller; a batch applied out of order would leave gaps. */
    boolean continues(String controller, MachineReportBatch batch) {
        return batch.afterSequence() <= appliedSequence(controller);
    }

    /** Replaces the last reports of the machines in a batch. */
    void apply(String controller, MachineReportBatch batch) {
        PublishedMachines published = machinesByController.get(controller);
        batch.reports().forEach(report -> published.machines.put(report.machineId(), toReportedMachine(report)));
        published.appliedSequence = Math.max(published.appliedSequence, batch.throughSequence());
    }

    private ReportedMachine toReportedMachine(MachineReport report) {
        return new ReportedMachine(
                report.up(),
                report.quarantined(),
                report.silentFor(),
                timeSource.now(),
                report.address(),
                report.token());
    }

    /** The sequence up to which a controller's reports have been applied. */
    long appliedSequence(String controller) {
        return machinesByController.get(controller).appliedSequence;
    }

    /** The owner's last report of a machine under its current token; empty if the owner's last heartbeat is not recent. */
    Optional<ReportedMachine> currentReport(MachineRecord machine) {
        return peerView.recentHeartbeat(machine.owner()).isEmpty() ? Optional.empty() : lastReport(machine);
    }

    /** The owner's last report of a machine under its current token, of any age. */
    Optional<ReportedMachine> lastReport(MachineRecord machine) {
        return lastReportUnderAnyToken(machine).filter(report -> report.token() == machine.token());
    }

    /** The address of a machine, if its owner has reported one. */
    Optional<String> address(MachineRecord machine) {
        return lastReportUnderAnyToken(machine).map(ReportedMachine::address).filter(address -> !address.isEmpty());
    }

    private Optional<ReportedMachine> lastReportUnderAnyToken(MachineRecord machine) {
        return Optional.ofNullable(machinesByController.get(machine.owner()))
                .map(published -> published.machines.get(machine.id()));
    }

    /** When a machine was last seen alive by any other controller. */
    Optional<Duration> lastSeenAlive(MachineRecord machine) {
        Optional<Duration> latest = Optional.empty();
        for (Map.Entry<String, PublishedMachines> published : machinesByController.entrySet()) {
            ReportedMachine report = published.getValue().machines.get(machine.id());
            if (report != null) {
                latest = Durations.latest(latest, Optional.of(seenAliveAt(published.getKey(), report, machine)));
            }
        }
        return latest;
    }

    /**
     * When the machine of a report was last alive. A machine that is up is reported once and counts as alive as long as the owner's
     * heartbeats continue. This applies to the current owner only: a report of an earlier owner does not cover the time after the
     * change of ownership.
     */
    private Duration seenAliveAt(String reporter, ReportedMachine report, MachineRecord machine) {
        Duration reportedAlive = report.reportedAt().minus(report.silentFor());
        boolean fromPresentOwner = reporter.equals(machine.owner()) && report.token() == machine.token();
        if (!report.up() || !fromPresentOwner) {
            return reportedAlive;
        }
        return peerView.lastHeartbeatAt(reporter).orElse(reportedAlive);
    }

    /** Discards the reports of all machines except these. */
    void retainMachines(Set<String> machineIds) {
        machinesByController
                .values()
                .forEach(published -> published.machines.keySet().retainAll(machineIds));
    }
}
