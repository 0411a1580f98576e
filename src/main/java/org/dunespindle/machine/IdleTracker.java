package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.dunespindle.control.Options;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;

/** Tracks how long machines have been idle and applies the idle timeout. */
final class IdleTracker {
    /** Up to this fleet size the configured idle timeout applies unchanged. */
    private static final int SMALL_FLEET_MACHINES = 30;

    private static final Duration MIN_IDLE_TIMEOUT = Duration.ofSeconds(8);

    private final StateReplica replica;
    private final Supplier<Options> options;
    private final Map<String, Duration> idleSince = new HashMap<>();

    IdleTracker(StateReplica replica, Supplier<Options> options) {
        this.replica = replica;
        this.options = options;
    }

    /** Updates whether a machine is idle, that is, has no allocations and is not needed by the plan. */
    void observe(MachineRecord machine, Plan plan, Duration now) {
        boolean idle = replica.allocationsOn(machine.id()).isEmpty()
                && !plan.wantedMachines().contains(machine.id());
        if (idle) {
            idleSince.putIfAbsent(machine.id(), now);
        } else {
            idleSince.remove(machine.id());
        }
    }

    /** Whether a machine has been idle for longer than its idle timeout. */
    boolean isIdleTooLong(MachineRecord machine, Duration now) {
        Duration idle = now.minus(idleSince.getOrDefault(machine.id(), now));
        return idle.compareTo(idleTimeout(machine.spot())) > 0;
    }

    /**
     * The idle timeout, which is inversely proportional to the square root of the fleet's size: in a larger fleet another machine
     * becomes free sooner for the next job, so idle machines need not be kept as long.
     */
    private Duration idleTimeout(boolean spot) {
        Duration configured = options.get().idleTimeout(spot);
        int fleetSize = Math.max(SMALL_FLEET_MACHINES, replica.machines().size());
        double factor = Math.sqrt((double) SMALL_FLEET_MACHINES / fleetSize);
        Duration timeout = Duration.ofMillis((long) (configured.toMillis() * factor));
        if (timeout.compareTo(MIN_IDLE_TIMEOUT) > 0) {
            return timeout;
        }
        return configured.compareTo(MIN_IDLE_TIMEOUT) > 0 ? MIN_IDLE_TIMEOUT : configured;
    }

    /** Drops the state of a machine whose record was removed. */
    void forget(String machineId) {
        idleSince.remove(machineId);
    }

    /** Discards all observations, since those of an earlier term as leader are no longer valid. */
    void clear() {
        idleSince.clear();
    }
}
