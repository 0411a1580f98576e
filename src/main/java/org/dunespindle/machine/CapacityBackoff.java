package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.time.TimeSource;

/** Exponential back-off for rental requests to pools that have no capacity. */
final class CapacityBackoff {
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(6);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(25);

    private final TimeSource timeSource;
    private final Map<MachinePool, Backoff> backoffs = new HashMap<>();

    /** The time of the next request to a pool, and the length of the back-off until then. */
    private record Backoff(Duration until, Duration duration) {}

    CapacityBackoff(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Starts a back-off after a pool had no capacity, and returns its length, which doubles with each consecutive failure. */
    Duration backOff(MachinePool pool) {
        Backoff previous = backoffs.get(pool);
        Duration doubled = previous == null ? INITIAL_BACKOFF : previous.duration.multipliedBy(2);
        Duration duration = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
        backoffs.put(pool, new Backoff(timeSource.now().plus(duration), duration));
        return duration;
    }

    /** Ends the back-off of a pool that had capacity. */
    void reset(MachinePool pool) {
        backoffs.remove(pool);
    }

    /** The pools whose back-off has not ended yet. */
    Set<MachinePool> poolsInBackoff() {
        Duration now = timeSource.now();
        var pools = new HashSet<MachinePool>();
        backoffs.forEach((pool, backoff) -> {
            if (backoff.until.compareTo(now) > 0) {
                pools.add(pool);
            }
        });
        return pools;
    }
}
