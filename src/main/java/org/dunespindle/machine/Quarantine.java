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

/** Machines on which tasks of different jobs keep failing: nothing new is placed there, and those that stay so are given back. */
public final class Quarantine {
    /** In quarantine first: jobs that failed there may turn out to fail elsewhere too. */
    private static final Duration LENGTH = Duration.ofSeconds(15);

    private final CrashLoopDetector crashLoopDetector;
    private final PeerHeartbeats peerHeartbeats;
    private final TimeSource timeSource;
    private final Supplier<Options> options;
    private final Map<String, Duration> since = new HashMap<>();

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

    /** Whether tasks of different jobs failed on a machine, as far as is known here. */
    boolean holds(String host) {
        return crashLoopDetector.jobsFailedOn(host) >= options.get().quarantineAfter();
    }

    /** Whether a machine has been in quarantine, here or as its owner tells, for long enough to be given back. */
    boolean over(MachineRecord machine) {
        boolean fails = peerHeartbeats
                        .machine(machine)
                        .filter(ReportedMachine::quarantined)
                        .isPresent()
                || holds(machine.id());
        if (!fails) {
            since.remove(machine.id());
            return false;
        }
        Duration begun = since.computeIfAbsent(machine.id(), id -> timeSource.now());
        return timeSource.now().minus(begun).compareTo(LENGTH) > 0;
    }

    void forget(String host) {
        since.remove(host);
    }

    /** What was seen as an earlier leader says nothing. */
    void clear() {
        since.clear();
    }
}
