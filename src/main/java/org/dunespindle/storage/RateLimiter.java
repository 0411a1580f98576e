package org.dunespindle.storage;

import java.time.Duration;
import java.util.ArrayDeque;
import org.dunespindle.time.TimeSource;

/**
 * This controller's share of a service's rate. Work waits its turn in order; urgent work (lease
 * renewals) goes first, because a lost lease costs more than any late request.
 */
public final class RateLimiter {
    private final TimeSource timeSource;
    private final ArrayDeque<Waiting> urgent = new ArrayDeque<>();
    private final ArrayDeque<Waiting> normal = new ArrayDeque<>();
    private double perSecond;
    private double tokens;
    private Duration filledAt;
    private boolean timerSet;

    private record Waiting(double cost, Runnable work) {}

    /** Creates a budget of so many units a second, with a burst of one second. */
    public RateLimiter(TimeSource timeSource, double perSecond) {
        this.timeSource = timeSource;
        this.perSecond = perSecond;
        this.tokens = burst();
        this.filledAt = timeSource.now();
    }

    /** A second's worth, as the services allow. */
    private double burst() {
        return Math.max(perSecond, 1);
    }

    /** The present rate in units a second. */
    public double perSecond() {
        return perSecond;
    }

    /** Changes the rate from now on, as the others' need for their shares changes. */
    public void rate(double newPerSecond) {
        refill();
        perSecond = newPerSecond;
        tokens = Math.min(tokens, burst());
    }

    /** What may be spent now; negative while a large charge is being paid off. */
    public double available() {
        refill();
        return urgent.isEmpty() && normal.isEmpty() ? tokens : Math.min(tokens, 0);
    }

    /** Whether this much cannot be spent yet; what costs more than a second's worth needs a full budget. */
    public boolean isShortOf(double cost) {
        return Math.min(cost, burst()) > available() + 1e-9;
    }

    /** Pays for work that is done at once, if need be later. */
    public void charge(double cost) {
        refill();
        tokens -= cost;
    }

    /** How long until this much is available, at least a millisecond. */
    public Duration timeUntil(double cost) {
        refill();
        double missing = Math.min(cost, burst()) - tokens;
        return Duration.ofNanos((long) (Math.max(0, missing) / perSecond * 1e9) + 1_000_000);
    }

    /** Runs work once its cost is available. What costs more than a second's worth runs at a full budget and is paid off afterwards. */
    public void submit(boolean first, double cost, Runnable work) {
        (first ? urgent : normal).addLast(new Waiting(cost, work));
        drain();
    }

    private void refill() {
        Duration now = timeSource.now();
        tokens = Math.min(burst(), tokens + now.minus(filledAt).toNanos() / 1e9 * perSecond);
        filledAt = now;
    }

    private void drain() {
        refill();
        while (true) {
            ArrayDeque<Waiting> queue = urgent.isEmpty() ? normal : urgent;
            Waiting head = queue.peekFirst();
            if (head == null) {
                return;
            }
            if (Math.min(head.cost, burst()) > tokens + 1e-9) {
                wake(timeUntil(head.cost));
                return;
            }
            queue.pollFirst();
            tokens -= head.cost;
            head.work.run();
        }
    }

    private void wake(Duration in) {
        if (timerSet) {
            return;
        }
        timerSet = true;
        timeSource.schedule(in, () -> {
            timerSet = false;
            drain();
        });
    }
}
