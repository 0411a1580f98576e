package org.dunespindle.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;

/**
 * Assigns machines and jobs to the live controllers by {@link RendezvousHash}. Machines whose records share a page form one
 * shard, so that a change of owner costs one write for all of them.
 */
final class ShardAssignment {
    private static final long NO_MEMBER_VERSION = -1;
    private final StateReplica replica;
    /** A cache of the controller of each shard, valid for one version of the member set. */
    private final Map<String, Optional<String>> controllersByShard = new HashMap<>();

    private long cachedMemberVersion = NO_MEMBER_VERSION;

    ShardAssignment(StateReplica replica) {
        this.replica = replica;
    }

    /** The live controller that a machine is assigned to. */
    Optional<String> controllerOfMachine(String machineId) {
        if (cachedMemberVersion != replica.memberVersion()) {
            cachedMemberVersion = replica.memberVersion();
            controllersByShard.clear();
        }
        return controllersByShard.computeIfAbsent(Keys.machinePageName(machineId), this::chooseLive);
    }

    /** The live controller that a job is assigned to. */
    Optional<String> controllerOfJob(String jobId) {
        return chooseLive(jobId);
    }

    /** The controller that a machine would be assigned to if these were the live controllers. */
    static Optional<String> controllerOfMachine(Set<String> controllers, String machineId) {
        return RendezvousHash.choose(controllers, Keys.machinePageName(machineId));
    }

    private Optional<String> chooseLive(String key) {
        return RendezvousHash.choose(replica.members().keySet(), key);
    }
}
