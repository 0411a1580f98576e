package org.dunespindle.controller;

import java.time.Duration;
import java.util.List;
import org.dunespindle.peer.PeerState;

/** Whether this controller can serve requests, and whether it is partitioned from the state store. */
final class ControllerHealth {
    private static final Duration CATALOG_TIMEOUT = Duration.ofSeconds(10);
    /** A replica that is staler than this counts as partitioned, unless the other controllers' are stale too. */
    private static final Duration MIN_STALENESS_OF_PARTITION = Duration.ofSeconds(4);

    private final ControllerParts parts;

    ControllerHealth(ControllerParts parts) {
        this.parts = parts;
    }

    /** Whether users' requests can be served here. In an outage that all share, staying in is better than all leaving. */
    boolean isHealthy() {
        return parts.shared.replica.isLoaded()
                && !parts.shared.formatUpgrade.isStoredFormatTooNew()
                && !awaitsCatalog()
                && parts.shared.membership.incarnation() > 0
                && !isPartitioned();
    }

    /** Polls need no catalog, so a cloud that stays silent must not make this controller unhealthy for good. */
    private boolean awaitsCatalog() {
        return parts.machines.catalog.types().isEmpty()
                && parts.shared.timeSource.now().compareTo(CATALOG_TIMEOUT) < 0;
    }

    /**
     * Whether this controller alone cannot read the state store. In an outage that all share, the other controllers still
     * answer, and report that their replicas are stale too; if none answers, it must be assumed that they go on without
     * this one.
     */
    boolean isPartitioned() {
        if (parts.shared.replica.staleness().compareTo(MIN_STALENESS_OF_PARTITION) < 0) {
            return false;
        }
        List<PeerState> livePeers = parts.workers.peerHeartbeats.livePeers();
        if (livePeers.isEmpty()) {
            return !parts.shared.settings.seeds().isEmpty();
        }
        return livePeers.stream()
                .anyMatch(peer -> peer.replicaStaleness().compareTo(DecisionLoop.MAX_STALENESS_FOR_PLACEMENT) < 0);
    }
}
