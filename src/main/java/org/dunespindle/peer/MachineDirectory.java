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
    private final PeerLiveness peerLiveness;
    private final Map<String, ReportedMachines> machinesByController = new HashMap<>();

    /** The machines that one incarnation of a controller has reported. */
    private static final class ReportedMachines {
        final long incarnation;
        final Map<String, ReportedMachine> machines = new HashMap<>();
        long appliedSequence;

        ReportedMachines(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    MachineDirectory(TimeSource timeSource, PeerLiveness peerLiveness) {
        this.timeSource = timeSource;
        this.peerLiveness = peerLiveness;
    }

    /** Discards the reports of a controller's earlier incarnations. */
    void beginIncarnation(String controller, long incarnation) {
        ReportedMachines reported = machinesByController.get(controller);
        if (reported == null || reported.incarnation != incarnation) {
            machinesByController.put(controller, new ReportedMachines(incarnation));
        }
    }

    /** Whether a batch continues the applied reports of a controller; a batch applied out of order would leave gaps. */
    boolean continues(String controller, MachineReportBatch batch) {
        return batch.afterSequence() <= appliedSequence(controller);
    }

    /** Replaces the last reports of the machines in a batch. */
    void apply(String controller, MachineReportBatch batch) {
        ReportedMachines reported = machinesByController.get(controller);
        batch.reports().forEach(report -> reported.machines.put(report.machineId(), toReportedMachine(report)));
        reported.appliedSequence = Math.max(reported.appliedSequence, batch.throughSequence());
    }

    private ReportedMachine toReportedMachine(MachineReport report) {
        return new ReportedMachine(
                report.up(),
                report.quarantined(),
                report.timeSinceLastSeen(),
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
        return peerLiveness.recentHeartbeat(machine.owner()).isEmpty() ? Optional.empty() : lastReport(machine);
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
                .map(reported -> reported.machines.get(machine.id()));
    }

    /** When a machine was last seen alive by any other controller. */
    Optional<Duration> lastSeenAlive(MachineRecord machine) {
        Optional<Duration> latest = Optional.empty();
        for (Map.Entry<String, ReportedMachines> reported : machinesByController.entrySet()) {
            ReportedMachine report = reported.getValue().machines.get(machine.id());
            if (report != null) {
                latest = Durations.latest(latest, Optional.of(seenAliveAt(reported.getKey(), report, machine)));
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
        Duration reportedAlive = report.reportedAt().minus(report.timeSinceLastSeen());
        boolean fromPresentOwner = reporter.equals(machine.owner()) && report.token() == machine.token();
        if (!report.up() || !fromPresentOwner) {
            return reportedAlive;
        }
        return peerLiveness.lastHeartbeatAt(reporter).orElse(reportedAlive);
    }

    /** Discards the reports of all machines except these. */
    void retainMachines(Set<String> machineIds) {
        machinesByController
                .values()
                .forEach(reported -> reported.machines.keySet().retainAll(machineIds));
    }
}
