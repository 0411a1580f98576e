package org.dunespindle.sim;

import java.time.Duration;

/** A token bucket in virtual time that holds one second's worth of tokens. */
final class RateLimit {
    private final VirtualTime sim;
    private final double perSecond;
    private double tokens;
    private Duration refilledAt;

    RateLimit(VirtualTime sim, double perSecond) {
        this.sim = sim;
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.refilledAt = sim.now();
    }

    /** Takes the given number of tokens if there are that many, and returns whether there were. */
    boolean tryAcquire(int units) {
        double passed = sim.now().minus(refilledAt).toNanos() / 1e9;
        tokens = Math.min(perSecond, tokens + passed * perSecond);
        refilledAt = sim.now();
        if (tokens < units) {
            return false;
        }
        tokens -= units;
        return true;
    }
}
