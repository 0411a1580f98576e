package org.dunespindle.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dunespindle.api.AdminApi;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.api.UserApi;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.worker.HeartbeatHandler;

/** One controller of a cell: its lifecycle, its periodic work and the entry points of its servers. Runs on a single event loop. */
public final class Controller {
    private static final Duration MAX_ROUND_INTERVAL = Duration.ofMillis(500);
    private static final Duration PEER_HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    private final ControllerParts parts;

    /**
     * Creates and wires the components of a controller. It does nothing before {@link #start}.
     *
     * @param formats the announced and the readable versions of the storage format
     * @param terminate called, with a reason for operators, when this controller must terminate
     * @param connector creates the connection of the controller to other cells
     */
    public Controller(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            FormatSupport formats,
            Consumer<String> terminate,
            Function<DelegationContext, JobDelegation> connector) {
        parts = new ControllerParts(settings, httpClient, timeSource, formats, terminate, connector);
    }

    /** The handler of the administration API. */
    public AdminApi adminApi() {
        return parts.adminApi;
    }

    /** The handler of the user API. */
    public UserApi userApi() {
        return parts.userApi;
    }

    /** The handler of workers' heartbeats. */
    public HeartbeatHandler heartbeatHandler() {
        return parts.workers.heartbeatHandler;
    }

    /** Starts reading the state store and joins the cell. */
    public void start() {
        parts.shared.replica.start();
        parts.machines.catalog.start();
        parts.jobDelegation.start();
        tick();
        sendPeerHeartbeat();
    }

    /** Whether this controller can serve users' requests. */
    public boolean isHealthy() {
        return parts.health.isHealthy();
    }

    /** Handles another controller's heartbeat and returns the reply. */
    public ObjectNode onPeerHeartbeat(byte[] heartbeat) {
        return parts.workers.peerHeartbeats.receive(
                heartbeat, parts.shared.replica.staleness(), parts.workers.writeRateAllocator.demand());
    }

    private void tick() {
        parts.shared.pauseDetector.tick();
        parts.workers.partitionDetector.tick();
        parts.roundScheduler.requestRound();
        parts.shared.timeSource.schedule(MAX_ROUND_INTERVAL, this::tick);
    }

    private void sendPeerHeartbeat() {
        if (parts.shared.replica.isLoaded()) {
            Duration replicaStaleness = parts.shared.replica.staleness();
            parts.workers.writeRateAllocator.adjust();
            parts.workers.peerHeartbeats.send(
                    replicaStaleness,
                    parts.workers.writeRateAllocator.demand(),
                    parts.workers.peerHeartbeats.sendsMachineReports(replicaStaleness)
                            ? parts.machines.statusReporter.ownedMachineStatuses()
                            : List.of());
            pruneStaleState();
        }
        parts.shared.timeSource.schedule(PEER_HEARTBEAT_INTERVAL, this::sendPeerHeartbeat);
    }

    /** Bounds memory by dropping state about machines and jobs that have no record any more. */
    private void pruneStaleState() {
        Set<String> present = parts.shared.replica.machines().keySet();
        parts.workers.peerHeartbeats.retainMachines(present);
        parts.workers.cancellationTracker.prune();
        parts.machines.crashLoopDetector.prune(parts.shared.replica.machines()::containsKey);
        parts.shared.workers.evictRemoved(present, parts.shared.timeSource.now());
    }
}
