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

/** The cloud's list of machines as last read by the leader. Listed machines without a stored record are adopted. */
public final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(4);
    /** Added to twice the list's lag, after which the list no longer contains machines that an earlier leader terminated. */
    private static final Duration LIST_LAG_MARGIN = Duration.ofSeconds(2);

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final CloudClient cloud;
    private final MachineProvisioner provisioner;
    private final MachineTerminator terminator;
    private Map<String, ListedMachine> listedById = Map.of();
    /** When this controller became the leader; empty while it is not. */
    private Optional<Duration> leadingSince = Optional.empty();

    private Duration nextListAt = Duration.ZERO;
    private boolean isFirstLeaderEver;
    private boolean requestInFlight;

    /** Creates an empty inventory; the first call of {@link #tick} as the leader reads the list. */
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

    /** The list entry of a machine; empty if the machine is not listed. */
    Optional<ListedMachine> find(String machineId) {
        return Optional.ofNullable(listedById.get(machineId));
    }

    /** A machine's listed address. The record of a rented machine lacks the address until its first heartbeat. */
    public Optional<String> address(String machineId) {
        return find(machineId).map(ListedMachine::address).filter(address -> !address.isEmpty());
    }

    /** Called when this controller becomes the leader. */
    void onLeadershipAcquired() {
        leadingSince = Optional.of(context.timeSource().now());
        nextListAt = context.timeSource().now();
        // Without any machine record this is the cell's first leader, so no earlier leader can have terminated a listed
        // machine.
        isFirstLeaderEver = context.replica().machines().isEmpty();
    }

    /** Called when this controller is no longer the leader. A list requested before is not used to adopt machines in a later term. */
    void onLeadershipLost() {
        leadingSince = Optional.empty();
        isFirstLeaderEver = false;
    }

    /** Requests the list if the list interval has elapsed. */
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
                LOG.debug("machine list request failed cause={}", failure.toString());
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
     * Adopts listed machines without a record: they were rented by a request whose response was lost, or existed before the cell
     * started. The list lags and may still contain machines that an earlier leader terminated, so a new leader waits until the lag
     * has passed.
     */
    private void adoptUnrecorded() {
        Duration minLead = context.settings().cloud().listLag().multipliedBy(2).plus(LIST_LAG_MARGIN);
        if (isFirstLeaderEver
                || hasLedFor(minLead, leadingSince, context.timeSource().now())) {
            listedById.values().stream().filter(this::isUnrecorded).forEach(this::adopt);
        }
    }

    /** Whether a leader has led long enough that the list contains no machine that an earlier leader terminated. */
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
