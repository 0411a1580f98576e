package org.dunespindle.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.time.TimeSource;

/** The liveness of the other controllers, as their heartbeats and replies show it. */
final class PeerView {
    /** How long a heartbeat counts as present. */
    private static final Duration HEARTBEAT_VALIDITY = Duration.ofSeconds(4);
    /** Silence after which a controller is suspected to have ended. */
    private static final Duration SUSPICION_TIMEOUT = Duration.ofMillis(1700);
    /** Silence after which the suspicion ends: the lease of a controller that has ended has expired by then. */
    private static final Duration LEASE_EXPIRY_BOUND = Duration.ofMillis(6500);

    private final TimeSource timeSource;
    private final Map<String, PeerState> lastHeartbeats = new HashMap<>();

    PeerView(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Notes that a controller has just sent this status. */
    void heartbeatReceived(SenderStatus sender) {
        var state = new PeerState(
                timeSource.now(),
                sender.incarnation(),
                sender.replicaStaleness(),
                sender.writeDemand().writesPerSecond(),
                sender.writeDemand().pendingProposals());
        lastHeartbeats.put(sender.node(), state);
    }

    /** The last heartbeat of a controller while it is recent. */
    Optional<PeerState> recentHeartbeat(String node) {
        return Optional.ofNullable(lastHeartbeats.get(node))
                .filter(peer -> timeSource.now().minus(peer.at()).compareTo(HEARTBEAT_VALIDITY) < 0);
    }

    /** When a controller sent its last heartbeat, however long ago. */
    Optional<Duration> lastHeartbeatAt(String node) {
        return Optional.ofNullable(lastHeartbeats.get(node)).map(PeerState::at);
    }

    /** The last heartbeats of all controllers whose heartbeat is recent. */
    List<PeerState> livePeers() {
        var live = new ArrayList<PeerState>();
        lastHeartbeats.keySet().forEach(node -> recentHeartbeat(node).ifPresent(live::add));
        return live;
    }

    /**
     * Whether a controller has fallen silent so recently that it may have ended without its lease having expired. A member
     * that has been silent for longer is alive, but can't talk to this controller.
     */
    boolean isSuspected(String node) {
        Optional<Duration> lastHeartbeatAt = lastHeartbeatAt(node);
        if (lastHeartbeatAt.isEmpty()) {
            return false;
        }
        Duration silence = timeSource.now().minus(lastHeartbeatAt.get());
        return silence.compareTo(SUSPICION_TIMEOUT) > 0 && silence.compareTo(LEASE_EXPIRY_BOUND) < 0;
    }
}
