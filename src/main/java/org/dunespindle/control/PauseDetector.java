package org.dunespindle.control;

import java.time.Duration;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that this process was paused while its clocks continued. Workers and controllers then seem unresponsive only because this
 * process received nothing, so the time without heartbeats is counted from the end of the pause. The staleness of the replica needs no
 * such correction: it is counted from the time at which the read was requested.
 */
public final class PauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
    /** A longer time between two ticks counts as a pause. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(2);

    private final TimeSource timeSource;
    private Duration lastTickAt;
    private Duration runningSince;

    /** Creates a detector that counts the process as running from now on. */
    public PauseDetector(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.lastTickAt = timeSource.now();
        this.runningSince = lastTickAt;
    }

    /** Checks for a pause; called at least twice a second, and before any decision that depends on missing heartbeats. */
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

    /** The time elapsed since an earlier time, without the part before the end of the last pause. */
    public Duration observedTimeSince(Duration time) {
        Duration elapsed = timeSource.now().minus(time);
        Duration uptimeSincePause = uptimeSincePause();
        return elapsed.compareTo(uptimeSincePause) < 0 ? elapsed : uptimeSincePause;
    }
}
