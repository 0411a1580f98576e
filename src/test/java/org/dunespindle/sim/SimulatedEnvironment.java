package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.FormatVersion;

/**
 * The state that simulated clusters share: virtual time and the record of jobs, so that a job may run in another cluster than the one
 * that accepted it.
 *
 * @param connector links controllers to other cells
 * @param watcher called for every task that starts or completes
 * @param externalControllers transport between workers and controllers outside the simulation; empty if the cluster runs its own
 */
record SimulatedEnvironment(
        VirtualTime sim,
        Map<String, Submission> jobs,
        Map<String, Set<Integer>> done,
        Map<String, Duration> completed,
        Map<String, Duration> cancelled,
        Connector connector,
        Watcher watcher,
        Optional<ExternalControllers> externalControllers) {

    /** Transport to controllers that run outside the simulation. */
    interface ExternalControllers {
        /** Sends a worker's heartbeat to a controller; the status is 0 if there is no answer. */
        void sendHeartbeat(int node, ObjectNode heartbeat, BiConsumer<Integer, JsonNode> answer);

        /** Returns the address at which controllers reach a worker. */
        String addressOf(FakeWorker worker);
    }

    /** Creates a controller's connection to other cells. */
    interface Connector {
        JobDelegation connect(int node, VirtualTime.SimulatedProcess process, DelegationContext context);
    }

    /** Observes tasks of all clusters. */
    interface Watcher {
        void started(SimulatedCluster cluster, FakeWorker.Task task);

        void finished(SimulatedCluster cluster, FakeWorker.Task task);
    }

    /** Creates the environment of a stand-alone cluster. */
    static SimulatedEnvironment none(VirtualTime sim) {
        return new SimulatedEnvironment(
                sim,
                new LinkedHashMap<>(),
                new HashMap<>(),
                new HashMap<>(),
                new HashMap<>(),
                (node, process, context) -> JobDelegation.NONE,
                new Watcher() {
                    @Override
                    public void started(SimulatedCluster cluster, FakeWorker.Task task) {}

                    @Override
                    public void finished(SimulatedCluster cluster, FakeWorker.Task task) {}
                },
                Optional.empty());
    }

    /** Returns the format versions that a controller supports: one that announces an earlier version cannot read later ones. */
    FormatSupport formats(int announced) {
        boolean earlier = announced < FormatVersion.NEWEST_WITHOUT_FEATURES;
        return new FormatSupport(announced, earlier ? announced : FormatVersion.NEWEST);
    }
}
