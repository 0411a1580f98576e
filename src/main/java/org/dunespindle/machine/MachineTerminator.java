package org.dunespindle.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines to the cloud. Only its 200 shows that a machine and everything on it are gone. */
public final class MachineTerminator {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTerminator.class);
    private static final Duration RETRY = Duration.ofMillis(700);
    private static final Duration REMEMBER_GONE = Duration.ofSeconds(300);
    /** The cloud takes no longer list. */
    private static final int MOST_AT_ONCE = 100;

    private final ControllerContext context;
    private final StateReplica replica;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final Map<String, Duration> goneAt = new HashMap<>();
    /** Machines being returned without a word in their record: nobody places anything on what is silent. */
    private final Set<String> dropped = new HashSet<>();

    private boolean returning;

    public MachineTerminator(ControllerContext context, MachineRecordWriter machineWriter, CloudClient cloud) {
        this.context = context;
        this.replica = context.replica();
        this.machineWriter = machineWriter;
        this.cloud = cloud;
    }

    /** Whether the cloud confirmed a machine as returned: its allocations can be released. */
    public boolean isGone(String host) {
        return goneAt.containsKey(host);
    }

    /** All machines that the cloud confirmed as returned lately. */
    public Set<String> gone() {
        return goneAt.keySet();
    }

    /** Whether a machine is on its way out, though its record may not say so. */
    public boolean leaves(MachineRecord machine) {
        return machine.draining() || dropped.contains(machine.id()) || isGone(machine.id());
    }

    /** Stores that a machine leaves; it is returned once that is settled and, where the reason allows, its tasks have ended. */
    void leave(MachineRecord machine, String why) {
        tell(machine, why);
        machineWriter.change(CommitPriority.MAINTENANCE, machine.draining(why), result -> {});
    }

    /**
     * Gives a machine back without storing that first, which during a mass failure saves half of the writes: nobody places
     * anything on a machine that is not heard, and should its owner hear it again at the last moment, what it places there ends with it.
     */
    void drop(MachineRecord machine, String why) {
        tell(machine, why);
        dropped.add(machine.id());
    }

    private void tell(MachineRecord machine, String why) {
        context.eventRecorder().record(LOG, "machine {} is given back: {}", machine.id(), why);
    }

    /** Forgets decisions that were not carried out: what was decided as an earlier leader says nothing. */
    void standDown() {
        dropped.clear();
    }

    /** A machine's record is removed. */
    void forget(String host) {
        dropped.remove(host);
    }

    /** Forgets returned machines whose records are long removed. */
    void prune() {
        Duration now = context.timeSource().now();
        goneAt.entrySet()
                .removeIf(entry -> now.minus(entry.getValue()).compareTo(REMEMBER_GONE) > 0
                        && !replica.machines().containsKey(entry.getKey()));
    }

    /** Returns what is to leave, many machines with one request. */
    void giveBack() {
        if (returning) {
            return;
        }
        List<String> hosts = due();
        if (hosts.isEmpty()) {
            return;
        }
        returning = true;
        cloud.giveBack(hosts).whenComplete((ok, failure) -> {
            if (failure == null) {
                hosts.forEach(host -> goneAt.put(host, context.timeSource().now()));
                returning = false;
            } else {
                context.timeSource().schedule(RETRY, () -> returning = false);
            }
        });
    }

    private List<String> due() {
        var hosts = new ArrayList<String>();
        for (MachineRecord machine : replica.machines().values()) {
            boolean may = dropped.contains(machine.id()) || settled(machine) && unused(machine);
            if (may && !isGone(machine.id()) && hosts.size() < MOST_AT_ONCE) {
                hosts.add(machine.id());
            }
        }
        return hosts;
    }

    /** Placements guard the record's stamp: once it says leaving and everything up to it is known, nothing new can come. */
    private boolean settled(MachineRecord machine) {
        return machine.draining() && replica.appliedRevision() >= replica.modRevision(Keys.machinePage(machine.id()));
    }

    private boolean unused(MachineRecord machine) {
        return !machine.drainsGracefully()
                || replica.allocationsOn(machine.id()).isEmpty();
    }
}
