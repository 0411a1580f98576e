package org.dunespindle.machine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.scheduling.MachinePool;

/** The cloud's list of machines as the leader last read it, and machines that it names but no record does. */
public final class CloudInventory {
    private static final Duration LIST_EVERY = Duration.ofSeconds(4);
    /** Beyond twice its lag, a list surely does not name machines returned by an earlier leader any more. */
    private static final Duration SURE_OF_LIST = Duration.ofSeconds(2);

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final MachineProvisioner provisioner;
    private final MachineTerminator terminator;
    private Map<String, ListedMachine> listed = Map.of();
    /** Since when this controller leads; empty while it does not, or has not begun to. */
    private Optional<Duration> leading = Optional.empty();

    private Duration listAgainAt = Duration.ZERO;
    private boolean firstOfAll;
    private boolean listing;

    public CloudInventory(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            CloudClient cloud,
            MachineProvisioner provisioner,
            MachineTerminator terminator) {
        this.context = context;
        this.machineWriter = machineWriter;
        this.cloud = cloud;
        this.provisioner = provisioner;
        this.terminator = terminator;
    }

    /** A machine's row in the list. */
    Optional<ListedMachine> row(String host) {
        return Optional.ofNullable(listed.get(host));
    }

    /** Where the list says that a machine is; records of rented machines do not tell until they report. */
    Optional<String> address(String host) {
        return row(host).map(ListedMachine::address).filter(address -> !address.isEmpty());
    }

    /** This controller has begun to lead. */
    void beginToLead() {
        leading = Optional.of(context.timeSource().now());
        listAgainAt = context.timeSource().now();
        // While no machine is known at all this is the first leader ever, and what the list names is there.
        firstOfAll = context.replica().machines().isEmpty();
    }

    /** This controller does not lead now: a list that was asked for before is not adopted from when it leads again. */
    void standDown() {
        leading = Optional.empty();
        firstOfAll = false;
    }

    /** Reads the list when it is due. */
    void tick() {
        Duration now = context.timeSource().now();
        if (listing || now.compareTo(listAgainAt) < 0) {
            return;
        }
        listing = true;
        listAgainAt = now.plus(LIST_EVERY);
        cloud.list().whenComplete((machines, failure) -> {
            listing = false;
            if (failure == null && context.membership().leads()) {
                take(machines);
            }
        });
    }

    private void take(List<ListedMachine> machines) {
        var map = new LinkedHashMap<String, ListedMachine>();
        machines.forEach(machine -> map.put(machine.id(), machine));
        listed = map;
        adopt();
    }

    /**
     * Machines in the list that no record names: rented by a request whose answer was lost, or there from the start. The
     * list lags and may still name what an earlier leader returned, so a new leader waits until it cannot any more.
     */
    private void adopt() {
        Duration least = context.settings().cloud().listLag().multipliedBy(2).plus(SURE_OF_LIST);
        if (firstOfAll || sure(leading, context.timeSource().now(), least)) {
            listed.values().stream().filter(this::unknown).forEach(this::adopt);
        }
    }

    /** Whether a leader has led for long enough for a list to name nothing that an earlier one returned. */
    static boolean sure(Optional<Duration> leadingSince, Duration now, Duration least) {
        return leadingSince.isPresent() && now.minus(leadingSince.get()).compareTo(least) >= 0;
    }

    private boolean unknown(ListedMachine machine) {
        String id = machine.id();
        boolean recorded = context.replica().machines().containsKey(id) || machineWriter.busy(id);
        return !machine.failed() && !recorded && !terminator.isGone(id);
    }

    private void adopt(ListedMachine machine) {
        var pool = new MachinePool(machine.type(), machine.zone(), machine.spot());
        provisioner.record(
                machine.id(),
                machine.address(),
                pool,
                context.timeSource().wallTime().minus(machine.age()),
                false);
    }
}
