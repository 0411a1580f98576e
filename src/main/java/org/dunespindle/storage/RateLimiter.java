package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayDeque;
import org.dunespindle.time.TimeSource;

/**
 * A token bucket: this controller's share of a service's rate. Work waits its turn in order; urgent work (lease renewals)
 * goes first, because a lost lease costs more than any late request.
 */
public final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Tokens accrue as floating-point numbers: work may run although its cost is missing by so much. */
    private static final double ROUNDING_TOLERANCE = 1e-9;
    /** Added to each wait, so that the tokens have accrued for certain when it ends. */
    private static final long WAIT_MARGIN_NANOS = 1_000_000;

    private final TimeSource timeSource;
    private final ArrayDeque<QueuedWork> urgentWork = new ArrayDeque<>();
    private final ArrayDeque<QueuedWork> normalWork = new ArrayDeque<>();
    private double perSecond;
    private double tokens;
    private Duration refilledAt;
    private boolean timerSet;

    private record QueuedWork(double cost, Runnable work) {}

    /** Creates a limiter for so many units a second, with a burst of one second. */
    public RateLimiter(TimeSource timeSource, double perSecond) {
        this.timeSource = timeSource;
        this.perSecond = perSecond;
        this.tokens = burst();
        this.refilledAt = timeSource.now();
    }

    /** The most tokens that accrue: one second's worth, as the services allow. */
    private double burst() {
        return Math.max(perSecond, 1);
    }

    /** The present rate in units a second. */
    public double perSecond() {
        return perSecond;
    }

    /** Changes the rate from now on, as the controllers' demand for their shares changes. */
    public void setRate(double newPerSecond) {
        refill();
        perSecond = newPerSecond;
        tokens = Math.min(tokens, burst());
    }

    /** What may be spent now; negative while a large charge is being paid off. */
    public double available() {
        refill();
        return urgentWork.isEmpty() && normalWork.isEmpty() ? tokens : Math.min(tokens, 0);
    }

    /** Whether this cost cannot be spent yet; one above the burst only needs a full bucket. */
    public boolean isShortOf(double cost) {
        return requiredTokens(cost) > available() + ROUNDING_TOLERANCE;
    }

    /** Charges for work that runs at once, if need be to be paid off later. */
    void charge(double cost) {
        refill();
        tokens -= cost;
    }

    /** How long to wait until a cost can be spent, at least a millisecond. */
    public Duration timeUntil(double cost) {
        refill();
        double missing = Math.max(0, requiredTokens(cost) - tokens);
        return Duration.ofNanos((long) (missing / perSecond * NANOS_PER_SECOND) + WAIT_MARGIN_NANOS);
    }

    /** Runs work once its cost can be spent. What costs more than the burst runs at a full bucket and is paid off afterwards. */
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
        if (timerSet) {
            return;
        }
        timerSet = true;
        timeSource.schedule(delay, () -> {
            timerSet = false;
            drain();
        });
    }
}
