package org.dunespindle.bookkeeping;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * This controller's share of a service's rate. Work waits its turn in order; urgent work (lease
 * renewals) goes first, because a lost lease costs more than any late request.
 */
public final class RateBudget {
    private final Timeline timeline;
    private final double perSecond;
    private final double burst;
    private final ArrayDeque<Waiting> urgent = new ArrayDeque<>();
    private final ArrayDeque<Waiting> normal = new ArrayDeque<>();
    private double tokens;
    private Duration filledAt;
    private boolean timerSet;

    private record Waiting(double cost, Runnable work) {}

    public RateBudget(Timeline timeline, double perSecond, double burst) {
        this.timeline = timeline;
        this.perSecond = perSecond;
        this.burst = Math.max(burst, 1);
        this.tokens = this.burst;
        this.filledAt = timeline.now();
    }

    /** Runs work once its cost is available. */
    public void submit(boolean first, double cost, Runnable work) {
        (first ? urgent : normal).addLast(new Waiting(Math.min(cost, burst), work));
        drain();
    }

    private void refill() {
        Duration now = timeline.now();
        tokens = Math.min(burst, tokens + now.minus(filledAt).toNanos() / 1e9 * perSecond);
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
            if (head.cost > tokens + 1e-9) {
                wake((head.cost - tokens) / perSecond);
                return;
            }
            queue.pollFirst();
            tokens -= head.cost;
            head.work.run();
        }
    }

    private void wake(double seconds) {
        if (timerSet) {
            return;
        }
        timerSet = true;
        timeline.after(Duration.ofNanos((long) (seconds * 1e9) + 1_000_000), () -> {
            timerSet = false;
            drain();
        });
    }
}
