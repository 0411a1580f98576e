package org.dunespindle.control;

import java.time.Duration;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that this process was paused while its clocks went on. Workers and controllers then appear silent only because nothing
 * was received here, so their silence is counted from the end of the pause. What depends on the staleness of the replica
 * needs no such correction: that is counted from the time at which the reading was requested.
 */
public final class PauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
    /** The time between two ticks from which on it counts as a pause. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(2);

    private final TimeSource timeSource;
    private Duration lastTickAt;
    private Duration runningSince;

    /** Creates a detector for a process that runs from now on. */
    public PauseDetector(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.lastTickAt = timeSource.now();
        this.runningSince = lastTickAt;
    }

    /** Called at least twice a second, and before anything is concluded from silence. */
    public void tick() {
        Duration now = timeSource.now();
        Duration sinceLastTick = now.minus(lastTickAt);
        lastTickAt = now;
        if (sinceLastTick.compareTo(MIN_PAUSE) > 0) {
            runningSince = now;
            LOG.info("process pause detected durationMs={}", sinceLastTick.toMillis());
        }
    }

    /** How long this process has run without a pause. */
    public Duration uptimeSincePause() {
        return timeSource.now().minus(runningSince);
    }

    /** How long something has been silent that was last heard of at a given time, without the time before the last pause ended. */
    public Duration observedSilence(Duration lastHeardAt) {
        Duration silence = timeSource.now().minus(lastHeardAt);
        Duration uptimeSincePause = uptimeSincePause();
        return silence.compareTo(uptimeSincePause) < 0 ? silence : uptimeSincePause;
    }
}
