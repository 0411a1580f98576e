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
 * Machines on which tasks of different jobs keep failing. Nothing new is placed on a machine in quarantine, and one that stays in
 * quarantine is terminated.
 */
public final class Quarantine {
    /** A machine is not terminated at once: the jobs that failed on it may turn out to fail elsewhere too. */
    private static final Duration DURATION_BEFORE_TERMINATION = Duration.ofSeconds(15);

    private final CrashLoopDetector crashLoopDetector;
    private final PeerHeartbeats peerHeartbeats;
    private final TimeSource timeSource;
    private final Supplier<Options> options;
    /** Since when this controller, as the leader, has seen each machine in quarantine. */
    private final Map<String, Duration> quarantinedSince = new HashMap<>();

    /** Creates a quarantine without machines. */
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

    /** Whether tasks of so many different jobs failed on a machine, as far as is known here, that nothing is placed on it. */
    boolean isQuarantined(String machineId) {
        return crashLoopDetector.jobsFailedOn(machineId) >= options.get().quarantineFailures();
    }

    /** Whether a machine has been in quarantine, here or as its owner reports, for so long that it is to be terminated. */
    boolean isExpired(MachineRecord machine) {
        if (!isReportedQuarantined(machine) && !isQuarantined(machine.id())) {
            quarantinedSince.remove(machine.id());
            return false;
        }
        Duration now = timeSource.now();
        Duration since = quarantinedSince.computeIfAbsent(machine.id(), id -> now);
        return now.minus(since).compareTo(DURATION_BEFORE_TERMINATION) > 0;
    }

    private boolean isReportedQuarantined(MachineRecord machine) {
        return peerHeartbeats
                .currentReport(machine)
                .filter(ReportedMachine::quarantined)
                .isPresent();
    }

    /** A machine's record is removed. */
    void forget(String machineId) {
        quarantinedSince.remove(machineId);
    }

    /** Forgets everything: what was observed as an earlier leader is no longer valid. */
    void clear() {
        quarantinedSince.clear();
    }
}
