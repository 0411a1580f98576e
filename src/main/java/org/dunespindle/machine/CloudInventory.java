package org.dunespindle.machine;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.scheduling.MachinePool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud's list of machines as the leader last read it. Machines in the list without a record are adopted. */
public final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(4);
    /** Beyond twice the list's lag, the list surely does not name machines terminated by an earlier leader any more. */
    private static final Duration LIST_LAG_MARGIN = Duration.ofSeconds(2);

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final MachineProvisioner provisioner;
    private final MachineTerminator terminator;
    private Map<String, ListedMachine> listedById = Map.of();
    /** Since when this controller leads; empty while it does not, or has not begun to. */
    private Optional<Duration> leadingSince = Optional.empty();

    private Duration nextListAt = Duration.ZERO;
    private boolean isFirstLeaderEver;
    private boolean requestInFlight;

    /** Creates an inventory that is still empty. */
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
    Optional<ListedMachine> find(String machineId) {
        return Optional.ofNullable(listedById.get(machineId));
    }

    /** A machine's address by the list; the record of a rented machine lacks it until the machine reports. */
    Optional<String> address(String machineId) {
        return find(machineId).map(ListedMachine::address).filter(address -> !address.isEmpty());
    }

    /** This controller has begun to lead. */
    void beginToLead() {
        leadingSince = Optional.of(context.timeSource().now());
        nextListAt = context.timeSource().now();
        // While no machine is recorded at all this is the first leader ever, and nothing in the list was terminated.
        isFirstLeaderEver = context.replica().machines().isEmpty();
    }

    /** This controller does not lead now: a list requested before is not adopted from once it leads again. */
    void standDown() {
        leadingSince = Optional.empty();
        isFirstLeaderEver = false;
    }

    /** Reads the list when it is due. */
    void tick() {
        Duration now = context.timeSource().now();
        if (requestInFlight || now.compareTo(nextListAt) < 0) {
            return;
        }
        requestInFlight = true;
        nextListAt = now.plus(LIST_INTERVAL);
        cloud.list().whenComplete((machines, failure) -> {
            requestInFlight = false;
            if (failure != null) {
                LOG.debug("machine list not read cause={}", failure.toString());
            } else if (context.membership().isLeader()) {
                replace(machines);
                adoptUnrecorded();
            }
        });
    }

    private void replace(List<ListedMachine> machines) {
        var byId = new LinkedHashMap<String, ListedMachine>();
        machines.forEach(machine -> byId.put(machine.id(), machine));
        listedById = byId;
    }

    /**
     * Adopts machines that no record names: rented by a request whose answer was lost, or there from the start. The list lags and may
     * still name what an earlier leader terminated, so a new leader waits until it cannot any more.
     */
    private void adoptUnrecorded() {
        Duration minLead = context.settings().cloud().listLag().multipliedBy(2).plus(LIST_LAG_MARGIN);
        if (isFirstLeaderEver
                || hasLedFor(minLead, leadingSince, context.timeSource().now())) {
            listedById.values().stream().filter(this::isUnrecorded).forEach(this::adopt);
        }
    }

    /** Whether a leader has led for so long that a list names nothing that an earlier one terminated. */
    static boolean hasLedFor(Duration minLead, Optional<Duration> leadingSince, Duration now) {
        return leadingSince.isPresent() && now.minus(leadingSince.get()).compareTo(minLead) >= 0;
    }

    private boolean isUnrecorded(ListedMachine machine) {
        String id = machine.id();
        boolean recorded = context.replica().machines().containsKey(id) || machineWriter.hasPendingChange(id);
        return !machine.failed() && !recorded && !terminator.isTerminated(id);
    }

    private void adopt(ListedMachine machine) {
        var pool = new MachinePool(machine.type(), machine.zone(), machine.spot());
        Instant rentedAt = context.timeSource().wallTime().minus(machine.age());
        provisioner.record(machine.id(), machine.address(), pool, rentedAt, false);
    }
}
