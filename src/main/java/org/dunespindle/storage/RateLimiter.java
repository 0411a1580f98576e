package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayDeque;
import org.dunespindle.time.TimeSource;

/**
 * A token bucket for this controller's share of a service's rate limit. Work runs in order of submission, but urgent work
 * (lease renewals) runs first, because an expired lease costs more than any delayed request.
 */
public final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Tokens are floating-point numbers, so work may run if its cost exceeds the available tokens by this rounding error. */
    private static final double ROUNDING_TOLERANCE = 1e-9;
    /** Added to each wait, so that the tokens have accrued despite rounding when it ends. */
    private static final long WAIT_MARGIN_NANOS = 1_000_000;

    private final TimeSource timeSource;
    private final ArrayDeque<QueuedWork> urgentWork = new ArrayDeque<>();
    private final ArrayDeque<QueuedWork> normalWork = new ArrayDeque<>();
    private double perSecond;
    private double tokens;
    private Duration refilledAt;
    private boolean drainScheduled;

    private record QueuedWork(double cost, Runnable work) {}

    /** Creates a limiter for a rate in units per second, with a burst of one second. */
    public RateLimiter(TimeSource timeSource, double perSecond) {
        this.timeSource = timeSource;
        this.perSecond = perSecond;
        this.tokens = burst();
        this.refilledAt = timeSource.now();
    }

    /** The capacity of the bucket: one second's worth of tokens, which is the burst that the services allow. */
    private double burst() {
        return Math.max(perSecond, 1);
    }

    /** The current rate in units per second. */
    public double perSecond() {
        return perSecond;
    }

    /** Sets a new rate. Controllers' shares of the rate limit change with their demand. */
    public void setRate(double newPerSecond) {
        refill();
        perSecond = newPerSecond;
        tokens = Math.min(tokens, burst());
    }

    /** The tokens available now; at most 0 while work is queued, and negative after a charge above the balance. */
    public double available() {
        refill();
        return urgentWork.isEmpty() && normalWork.isEmpty() ? tokens : Math.min(tokens, 0);
    }

    /** Whether too few tokens are available for a cost. A cost above the burst requires only a full bucket. */
    public boolean lacksTokensFor(double cost) {
        return requiredTokens(cost) > available() + ROUNDING_TOLERANCE;
    }

    /** Charges for work that runs immediately; the balance may become negative. */
    void charge(double cost) {
        refill();
        tokens -= cost;
    }

    /** The time until enough tokens for a cost have accrued, at least a millisecond. */
    public Duration timeUntil(double cost) {
        refill();
        double missing = Math.max(0, requiredTokens(cost) - tokens);
        return Duration.ofNanos((long) (missing / perSecond * NANOS_PER_SECOND) + WAIT_MARGIN_NANOS);
    }

    /** Runs work once enough tokens for its cost have accrued. A cost above the burst runs at a full bucket and leaves a debt. */
    public void submit(boolean urgent, double cost, Runnable work) {
        (urgent ? urgentWork : normalWork).addLast(new QueuedWork(cost, work));
        drain();
    }

    private double requiredTokens(double cost) {
        return Math.min(cost, burst());
    }

    private void refill() {
        Duration now = timeSource.now();
        double accrued = now.minus(refilledAt).toNanos() / NANOS_PER_SECOND * perSecond;
        tokens = Math.min(burst(), tokens + accrued);
        refilledAt = now;
    }

    private void drain() {
        refill();
        while (true) {
            ArrayDeque<QueuedWork> queue = urgentWork.isEmpty() ? normalWork : urgentWork;
            QueuedWork head = queue.peekFirst();
            if (head == null) {
                return;
            }
            if (requiredTokens(head.cost) > tokens + ROUNDING_TOLERANCE) {
                scheduleDrain(timeUntil(head.cost));
                return;
            }
            queue.pollFirst();
            tokens -= head.cost;
            head.work.run();
        }
    }

    private void scheduleDrain(Duration delay) {
        if (drainScheduled) {
            return;
        }
        drainScheduled = true;
        timeSource.schedule(delay, () -> {
            drainScheduled = false;
            drain();
        });
    }
}
