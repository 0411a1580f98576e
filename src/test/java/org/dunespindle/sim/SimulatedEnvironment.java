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
 * What a simulated cluster shares with others: time, and what the stand-ins know of jobs, so that a job may run in another cluster
 * than the one that accepted it.
 *
 * @param connector links controllers to other cells
 * @param watcher told of every task that starts or completes
 * @param outside how workers reach controllers that are processes of their own; empty if controllers are part of the simulation
 */
record SimulatedEnvironment(
        VirtualTime sim,
        Map<String, Submission> jobs,
        Map<String, Set<Integer>> done,
        Map<String, Duration> completed,
        Map<String, Duration> cancelled,
        Connector connector,
        Watcher watcher,
        Optional<Outside> outside) {

    /** Controllers outside of the simulation. */
    interface Outside {
        /** Sends a worker's report to a controller; the status is 0 if nobody answers. */
        void report(int node, ObjectNode report, BiConsumer<Integer, JsonNode> answer);

        /** Where controllers reach a worker. */
        String addressOf(FakeWorker worker);
    }

    /** Links a controller to other cells. */
    interface Connector {
        JobDelegation connect(int node, VirtualTime.SimulatedProcess process, DelegationContext context);
    }

    /** Watches tasks of all clusters. */
    interface Watcher {
        void started(SimulatedCluster cluster, FakeWorker.Task task);

        void finished(SimulatedCluster cluster, FakeWorker.Task task);
    }

    /** A cluster on its own. */
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

    /** What a controller that announces a version understands: a program of an earlier version knows no later one. */
    FormatSupport formats(int announced) {
        boolean earlier = announced < FormatVersion.NEWEST_WITHOUT_FEATURES;
        return new FormatSupport(announced, earlier ? announced : FormatVersion.NEWEST);
    }
}
