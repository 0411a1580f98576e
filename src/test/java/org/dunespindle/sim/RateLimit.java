package org.dunespindle.sim;

import java.time.Duration;

/** A token bucket in virtual time that holds one second's worth of tokens. */
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

    /** Takes the given number of tokens if there are that many, and returns whether there were. */
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
