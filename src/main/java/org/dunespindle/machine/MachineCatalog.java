package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud's machine types, refreshed periodically since prices change. */
public final class MachineCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineCatalog.class);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(60);
    /** Retry interval until the catalog has been read for the first time. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(800);

    private final CloudClient cloud;
    private final TimeSource timeSource;
    private final Runnable onChange;
    private Optional<List<MachineType>> types = Optional.empty();
    private Map<String, MachineType> typesByName = Map.of();

    /**
     * Creates a catalog that is not loaded yet.
     *
     * @param onChange called after every successful read of the catalog
     */
    public MachineCatalog(CloudClient cloud, TimeSource timeSource, Runnable onChange) {
        this.cloud = cloud;
        this.timeSource = timeSource;
        this.onChange = onChange;
    }

    /** Reads the catalog and schedules its periodic refresh. */
    public void start() {
        cloud.catalog().whenComplete((read, failure) -> {
            if (failure == null) {
                replace(read);
            } else {
                LOG.debug("machine catalog request failed cause={}", failure.toString());
            }
            timeSource.schedule(types.isPresent() ? REFRESH_INTERVAL : INITIAL_RETRY_DELAY, this::start);
        });
    }

    private void replace(List<MachineType> read) {
        types = Optional.of(read);
        var byName = new HashMap<String, MachineType>();
        read.forEach(type -> byName.put(type.name(), type));
        typesByName = byName;
        onChange.run();
    }

    /** All machine types; empty until the catalog has been read. */
    public Optional<List<MachineType>> types() {
        return types;
    }

    /** A machine type by name; empty if the cloud does not offer it. */
    public Optional<MachineType> type(String name) {
        return Optional.ofNullable(typesByName.get(name));
    }
}
