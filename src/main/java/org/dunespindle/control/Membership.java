package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.time.TimeSource;

/**
 * This controller's membership in the cell: its incarnation and lease, the other live controllers, the leader, and the assignment
 * of machines and jobs to live controllers.
 */
public final class Membership {
    private final String node;
    private final StateReplica replica;
    private final MembershipLease lease;
    private final LeaderElection election;
    private final ShardAssignment shards;
    private boolean resigned;

    /**
     * Creates a membership that has not joined yet.
     *
     * @param announcedFormat the newest format version that this program announces to the other controllers
     */
    public Membership(
            String node,
            int announcedFormat,
            StateStoreClient stateStore,
            StateReplica replica,
            TimeSource timeSource) {
        this.node = node;
        this.replica = replica;
        this.lease = new MembershipLease(node, announcedFormat, stateStore, replica, timeSource);
        this.election = new LeaderElection(stateStore, replica);
        this.shards = new ShardAssignment(replica);
    }

    /** Joins if this process is not a member, and otherwise takes part in the leader election; called periodically. */
    public void tick() {
        if (!replica.isLoaded()) {
            return;
        }
        if (isMember()) {
            election.campaign(self(), lease.leaseId().orElseThrow(), this::isAlive);
        } else if (!resigned) {
            lease.acquireIfNeeded();
        }
    }

    /** Ends the lease, and with it membership and leadership, until {@link #rejoin}. */
    public void resign() {
        resigned = true;
        lease.release();
    }

    /** Lets this controller join again after it resigned. */
    public void rejoin() {
        resigned = false;
    }

    /** This process's incarnation number; 0 until it is stored. */
    public long incarnation() {
        return lease.incarnation();
    }

    /** Whether this process has an incarnation, a lease and a member record. */
    public boolean isMember() {
        return lease.incarnation() > 0 && !resigned && lease.leaseId().isPresent() && isAlive(self());
    }

    /** Whether an incarnation of a controller is a member. */
    public boolean isAlive(String name, long incarnation) {
        return incarnationOf(name).filter(live -> live == incarnation).isPresent();
    }

    private boolean isAlive(LeaderRecord leader) {
        return isAlive(leader.node(), leader.incarnation());
    }

    /** The live incarnation of a controller, if it is a member. */
    public Optional<Long> incarnationOf(String name) {
        return member(name).map(MemberRecord::incarnation);
    }

    /** The newest format version that a live controller announces; 0 if it is not a member. */
    int formatVersionOf(String name) {
        return member(name).map(MemberRecord::formatVersion).orElse(0);
    }

    private Optional<MemberRecord> member(String name) {
        JsonNode record = replica.members().get(name);
        return Optional.ofNullable(record).map(MemberRecord::parse);
    }

    /** Whether this incarnation owns a machine. */
    public boolean owns(MachineRecord machine) {
        return machine.owner().equals(node) && machine.incarnation() == lease.incarnation();
    }

    /** The name of the stored leader, which may have crashed. */
    public Optional<String> leader() {
        return leaderRecord().map(LeaderRecord::node);
    }

    /** The name and incarnation of the stored leader, which may have crashed. */
    public Optional<LeaderRecord> leaderRecord() {
        return election.leader();
    }

    /** Whether this controller is the leader. */
    public boolean isLeader() {
        return isMember() && election.leader().filter(self()::equals).isPresent();
    }

    private LeaderRecord self() {
        return new LeaderRecord(node, lease.incarnation());
    }

    /** The live controller that a machine is assigned to. */
    public Optional<String> controllerOfMachine(String machineId) {
        return shards.controllerOfMachine(machineId);
    }

    /** The live controller that a job is assigned to. */
    public Optional<String> controllerOfJob(String jobId) {
        return shards.controllerOfJob(jobId);
    }

    /** The controller that a machine would be assigned to if these were the live controllers. */
    public Optional<String> controllerOfMachineAmong(Set<String> controllers, String machineId) {
        return ShardAssignment.controllerOfMachine(controllers, machineId);
    }
}
