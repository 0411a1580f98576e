package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.time.TimeSource;

/** The cloud's machine types, read again now and then: prices move. */
public final class MachineCatalog {
    private static final Duration REFRESH_EVERY = Duration.ofSeconds(60);
    private static final Duration RETRY = Duration.ofMillis(800);
    private final CloudClient cloud;
    private final TimeSource timeSource;
    private final Runnable changed;
    private Optional<List<MachineType>> types = Optional.empty();
    private Map<String, MachineType> byName = Map.of();

    public MachineCatalog(CloudClient cloud, TimeSource timeSource, Runnable changed) {
        this.cloud = cloud;
        this.timeSource = timeSource;
        this.changed = changed;
    }

    /** Begins to read, and keeps reading. */
    public void start() {
        cloud.catalog().whenComplete((list, failure) -> {
            if (failure == null) {
                take(list);
            }
            timeSource.schedule(types.isPresent() ? REFRESH_EVERY : RETRY, this::start);
        });
    }

    private void take(List<MachineType> list) {
        types = Optional.of(list);
        var map = new HashMap<String, MachineType>();
        list.forEach(type -> map.put(type.name(), type));
        byName = map;
        changed.run();
    }

    /** All machine types; empty until the cloud has answered. */
    public Optional<List<MachineType>> types() {
        return types;
    }

    /** A machine type, if the cloud offers it. */
    public Optional<MachineType> type(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
