package org.dunespindle.control;

import java.time.Duration;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices when this process stood still while its clocks went on. Then workers and controllers look silent only because
 * nobody here listened, so silence is counted from the moment of waking. What rests on the age of the stored
 * state needs no such care: a reading counts from when it was asked for.
 */
public final class PauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
    private static final Duration STOOD_STILL = Duration.ofSeconds(2);
    private final TimeSource timeSource;
    private Duration lastBeat;
    private Duration listeningSince;

    public PauseDetector(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.lastBeat = timeSource.now();
        this.listeningSince = lastBeat;
    }

    /** Called at least twice a second, and before anything is concluded from silence. */
    public void tick() {
        Duration now = timeSource.now();
        Duration gap = now.minus(lastBeat);
        lastBeat = now;
        if (gap.compareTo(STOOD_STILL) > 0) {
            listeningSince = now;
            LOG.info("this process stood still for {} ms", gap.toMillis());
        }
    }

    /** How long this process has listened without a break. */
    public Duration awake() {
        return timeSource.now().minus(listeningSince);
    }

    /** How long something has been silent that was last heard then, as far as it was listened to. */
    public Duration silence(Duration heardAt) {
        Duration silent = timeSource.now().minus(heardAt);
        Duration awake = awake();
        return silent.compareTo(awake) < 0 ? silent : awake;
    }
}
