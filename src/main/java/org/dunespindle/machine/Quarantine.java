package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.dunespindle.control.Options;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.peer.ReportedMachine;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.TimeSource;

/**
 * Quarantine of machines on which tasks of different jobs repeatedly fail. No new task is placed on a quarantined machine, and a machine
 * that stays in quarantine is terminated.
 */
public final class Quarantine {
    /** A delay before termination, since the jobs that failed on a machine may turn out to fail on other machines too. */
    private static final Duration TERMINATION_DELAY = Duration.ofSeconds(15);

    private final CrashLoopDetector crashLoopDetector;
    private final PeerHeartbeats peerHeartbeats;
    private final TimeSource timeSource;
    private final Supplier<Options> options;
    /** By machine, when this controller as the leader first observed it in quarantine. */
    private final Map<String, Duration> quarantinedSince = new HashMap<>();

    /** Creates an empty quarantine. */
    public Quarantine(
            CrashLoopDetector crashLoopDetector,
            PeerHeartbeats peerHeartbeats,
            TimeSource timeSource,
            Supplier<Options> options) {
        this.crashLoopDetector = crashLoopDetector;
        this.peerHeartbeats = peerHeartbeats;
        this.timeSource = timeSource;
        this.options = options;
    }

    /** Whether the number of jobs that failed on a machine, as observed by this controller, reaches the configured limit. */
    boolean isQuarantined(String machineId) {
        return crashLoopDetector.jobsFailedOn(machineId) >= options.get().quarantineFailures();
    }

    /** Whether a machine has been in quarantine, according to this controller or to its owner, for long enough to be terminated. */
    boolean isTerminationDue(MachineRecord machine) {
        if (!isReportedQuarantined(machine) && !isQuarantined(machine.id())) {
            quarantinedSince.remove(machine.id());
            return false;
        }
        Duration now = timeSource.now();
        Duration since = quarantinedSince.computeIfAbsent(machine.id(), id -> now);
        return now.minus(since).compareTo(TERMINATION_DELAY) > 0;
    }

    private boolean isReportedQuarantined(MachineRecord machine) {
        return peerHeartbeats
                .currentReport(machine)
                .filter(ReportedMachine::quarantined)
                .isPresent();
    }

    /** Drops the state of a machine whose record was removed. */
    void forget(String machineId) {
        quarantinedSince.remove(machineId);
    }

    /** Discards all observations, since those of an earlier term as leader are no longer valid. */
    void clear() {
        quarantinedSince.clear();
    }
}
