package org.dunespindle.controller;

import java.time.Duration;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts decision rounds on request, at a limited rate. A long round is followed by a longer pause, so that requests of
 * users and workers are not delayed on the event loop.
 */
final class RoundScheduler {
    private static final Logger LOG = LoggerFactory.getLogger(RoundScheduler.class);
    private static final Duration MIN_ROUND_INTERVAL = Duration.ofMillis(25);
    private static final Duration MIN_DELAY = Duration.ofMillis(2);
    /** The pause after a round, as a multiple of the time that the round took. */
    private static final int PAUSE_PER_ROUND_TIME = 4;

    private final TimeSource timeSource;
    private final PauseDetector pauseDetector;
    private final Histogram roundTimes = LatencyHistograms.create();
    private Round round;
    private boolean scheduled;
    private Duration lastRoundAt = Duration.ZERO;
    private Duration lastRoundTime = Duration.ZERO;

    /** The work of one round. */
    interface Round {
        /** Compares the desired with the observed state and proposes changes. */
        void run();

        /** Time spent on planning since the given time. Planning has its own rate limit and does not lengthen the pause between rounds. */
        Duration planningTimeSince(Duration start);
    }

    RoundScheduler(TimeSource timeSource, PauseDetector pauseDetector) {
        this.timeSource = timeSource;
        this.pauseDetector = pauseDetector;
    }

    /** Sets the work of each round; called once, while the controller is being wired. */
    void setRound(Round newRound) {
        round = newRound;
    }

    /** The duration of rounds without planning. */
    Histogram roundTimes() {
        return roundTimes;
    }

    /** Requests a round as soon as the rate limit allows it; requests before that round are merged. */
    void requestRound() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        Duration pause =
                Durations.max(Duration.ofNanos(lastRoundTime.toNanos() * PAUSE_PER_ROUND_TIME), MIN_ROUND_INTERVAL);
        Duration delay = lastRoundAt.plus(pause).minus(timeSource.now());
        timeSource.schedule(Durations.max(delay, MIN_DELAY), this::runRound);
    }

    private void runRound() {
        scheduled = false;
        Duration start = timeSource.now();
        lastRoundAt = start;
        pauseDetector.tick();
        try {
            round.run();
        } catch (RuntimeException e) {
            LOG.error("decision round failed, retrying with the next one", e);
        }
        lastRoundTime = timeSource.now().minus(start).minus(round.planningTimeSince(start));
        LatencyHistograms.record(roundTimes, lastRoundTime);
    }
}
