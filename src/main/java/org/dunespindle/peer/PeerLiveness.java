package org.dunespindle.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.time.TimeSource;

/** The liveness of the other controllers, derived from their heartbeats and replies. */
final class PeerLiveness {
    /** How long a heartbeat counts as recent. */
    private static final Duration HEARTBEAT_VALIDITY = Duration.ofSeconds(4);
    /** Time without heartbeats after which a controller is suspected to have crashed. */
    private static final Duration SUSPICION_TIMEOUT = Duration.ofMillis(1700);
    /** Time without heartbeats after which the suspicion ends: the lease of a crashed controller has expired by that time. */
    private static final Duration LEASE_EXPIRY_BOUND = Duration.ofMillis(6500);

    private final TimeSource timeSource;
    private final Map<String, PeerState> lastHeartbeats = new HashMap<>();

    PeerLiveness(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Records a status that has just been received from a controller. */
    void heartbeatReceived(SenderStatus sender) {
        var state = new PeerState(
                timeSource.now(),
                sender.incarnation(),
                sender.replicaStaleness(),
                sender.writeDemand().writesPerSecond(),
                sender.writeDemand().pendingProposals());
        lastHeartbeats.put(sender.node(), state);
    }

    /** The last heartbeat of a controller; empty if it is not recent. */
    Optional<PeerState> recentHeartbeat(String node) {
        return Optional.ofNullable(lastHeartbeats.get(node))
                .filter(peer -> timeSource.now().minus(peer.at()).compareTo(HEARTBEAT_VALIDITY) < 0);
    }

    /** When the last heartbeat of a controller was received, of any age. */
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
     * Whether a controller's heartbeats stopped so recently that it may have crashed without its lease having expired. A controller that
     * is still a member after a longer time is alive, but cannot reach this controller.
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
