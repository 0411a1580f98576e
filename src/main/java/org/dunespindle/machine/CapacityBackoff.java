package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.time.TimeSource;

/** Exponential back-off from pools that have no capacity. */
final class CapacityBackoff {
    private static final Duration INITIAL_PAUSE = Duration.ofSeconds(6);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(25);

    private final TimeSource timeSource;
    private final Map<MachinePool, Backoff> backoffs = new HashMap<>();

    /** When a pool is asked again, and the pause until then. */
    private record Backoff(Duration until, Duration pause) {}

    CapacityBackoff(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** A pool had no capacity; returns how long it is not asked again, which doubles with each time in a row. */
    Duration backOff(MachinePool pool) {
        Backoff previous = backoffs.get(pool);
        Duration doubled = previous == null ? INITIAL_PAUSE : previous.pause.multipliedBy(2);
        Duration pause = doubled.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : doubled;
        backoffs.put(pool, new Backoff(timeSource.now().plus(pause), pause));
        return pause;
    }

    /** A pool had capacity. */
    void reset(MachinePool pool) {
        backoffs.remove(pool);
    }

    /** The pools that are not to be asked yet. */
    Set<MachinePool> pools() {
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
