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

/** One controller of a cell: its lifecycle, its periodic work, and what its listeners call. */
public final class Controller {
    private static final Duration MAX_ROUND_INTERVAL = Duration.ofMillis(500);
    private static final Duration PEER_HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    private final ControllerParts parts;

    /**
     * Wires a controller together; nothing happens before {@link #start}.
     *
     * @param formats the versions of the stored forms that are announced and understood
     * @param terminate called, with a reason for operators, when this controller must end
     * @param connector links the controller to other cells
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

    /** The administration API. */
    public AdminApi adminApi() {
        return parts.adminApi;
    }

    /** The API for users. */
    public UserApi userApi() {
        return parts.userApi;
    }

    /** Answers workers' heartbeats. */
    public HeartbeatHandler heartbeatHandler() {
        return parts.workers.heartbeatHandler;
    }

    /** Begins to read the state store and to take part in the cell. */
    public void start() {
        parts.shared.replica.start();
        parts.machines.catalog.start();
        parts.jobDelegation.start();
        tick();
        sendPeerHeartbeat();
    }

    /** Whether users' requests can be served here. */
    public boolean isHealthy() {
        return parts.health.isHealthy();
    }

    /** Handles another controller's heartbeat; returns the reply to it. */
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
            parts.workers.writeRateAllocator.adjust();
            parts.workers.peerHeartbeats.send(
                    parts.shared.replica.staleness(),
                    parts.workers.writeRateAllocator.demand(),
                    parts.workers.peerHeartbeats.hasRemoteLeader()
                            ? parts.machines.statusReporter.ownedMachineStatuses()
                            : List.of());
            forgetWhatIsGone();
        }
        parts.shared.timeSource.schedule(PEER_HEARTBEAT_INTERVAL, this::sendPeerHeartbeat);
    }

    /** Bounds memory: drops what is known of machines and jobs that no record names any more. */
    private void forgetWhatIsGone() {
        Set<String> present = parts.shared.replica.machines().keySet();
        parts.workers.peerHeartbeats.retainMachines(present);
        parts.workers.cancellationTracker.prune();
        parts.machines.crashLoopDetector.prune(parts.shared.replica.machines()::containsKey);
        parts.shared.workers.evictRemoved(present, parts.shared.timeSource.now());
    }
}
