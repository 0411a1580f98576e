package org.dunespindle.sim;

import java.time.Duration;

/** A service's rate limit, with bursts of one second's worth. */
final class RateLimit {
    private final VirtualTime sim;
    private final double perSecond;
    private double left;
    private Duration filledAt;

    RateLimit(VirtualTime sim, double perSecond) {
        this.sim = sim;
        this.perSecond = perSecond;
        this.left = perSecond;
        this.filledAt = sim.now();
    }

    /** Whether so much is within the limit now; if so, it is used up. */
    boolean allows(int units) {
        double passed = sim.now().minus(filledAt).toNanos() / 1e9;
        left = Math.min(perSecond, left + passed * perSecond);
        filledAt = sim.now();
        if (left < units) {
            return false;
        }
        left -= units;
        return true;
    }
}
