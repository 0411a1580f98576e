package org.dunespindle.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What this process knows of each worker. It is gone with the process; nothing in it is needed for safety. */
public final class WorkerRegistry {
    private static final Duration REMEMBER = Duration.ofMinutes(5);
    private final Map<String, WorkerState> byHost = new HashMap<>();

    /** What is known of a worker, created if it is new. */
    public WorkerState getOrCreate(String host) {
        return byHost.computeIfAbsent(host, h -> new WorkerState());
    }

    /** What is known of a worker, if anything. */
    public Optional<WorkerState> find(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    /** All workers by machine. */
    public Map<String, WorkerState> all() {
        return byHost;
    }

    /**
     * Forgets machines that are gone, though not at once: while late copies of their reports may come, it must be known that
     * they are old.
     */
    public void evictGone(Set<String> present, Duration now) {
        byHost.entrySet()
                .removeIf(e -> !present.contains(e.getKey())
                        && !e.getValue().inspectionInFlight
                        && now.minus(e.getValue().seenAt).compareTo(REMEMBER) > 0);
    }
}
