package org.dunespindle.machine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.dunespindle.control.Options;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;

/** How long machines have been idle, and how long they may be. */
final class IdleTracker {
    /** In fleets of up to this size, machines may be idle for as long as the options say. */
    private static final int SMALL_FLEET_MACHINES = 30;

    private static final Duration MIN_IDLE_LIMIT = Duration.ofSeconds(8);

    private final StateReplica replica;
    private final Supplier<Options> options;
    private final Map<String, Duration> idleSince = new HashMap<>();

    IdleTracker(StateReplica replica, Supplier<Options> options) {
        this.replica = replica;
        this.options = options;
    }

    /** Notes whether a machine is idle: nothing is allocated on it, and the plan does not need it. */
    void observe(MachineRecord machine, Plan plan, Duration now) {
        boolean idle = replica.allocationsOn(machine.id()).isEmpty()
                && !plan.wantedMachines().contains(machine.id());
        if (idle) {
            idleSince.putIfAbsent(machine.id(), now);
        } else {
            idleSince.remove(machine.id());
        }
    }

    /** Whether a machine has been idle for longer than it may. */
    boolean isIdleTooLong(MachineRecord machine, Duration now) {
        Duration idle = now.minus(idleSince.getOrDefault(machine.id(), now));
        return idle.compareTo(idleLimit(machine.spot())) > 0;
    }

    /**
     * The larger the fleet, the sooner another machine is free for the next job, and the shorter each has to be kept for it: the limit
     * falls with the square root of the fleet's size.
     */
    private Duration idleLimit(boolean spot) {
        Duration configured = options.get().idleTimeout(spot);
        int fleetSize = Math.max(SMALL_FLEET_MACHINES, replica.machines().size());
        double part = Math.sqrt((double) SMALL_FLEET_MACHINES / fleetSize);
        Duration limit = Duration.ofMillis((long) (configured.toMillis() * part));
        if (limit.compareTo(MIN_IDLE_LIMIT) > 0) {
            return limit;
        }
        return configured.compareTo(MIN_IDLE_LIMIT) > 0 ? MIN_IDLE_LIMIT : configured;
    }

    /** A machine's record is removed. */
    void forget(String machineId) {
        idleSince.remove(machineId);
    }

    /** Forgets everything: what was observed as an earlier leader is no longer valid. */
    void clear() {
        idleSince.clear();
    }
}
