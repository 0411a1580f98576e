package org.dunespindle.controller;

import java.time.Duration;
import org.dunespindle.peer.PeerHeartbeats;

/** Determines whether this controller can serve requests, and whether it is partitioned from the state store. */
final class ControllerHealth {
    private static final Duration CATALOG_TIMEOUT = Duration.ofSeconds(10);
    /** The replica staleness from which this controller counts as partitioned, unless the other controllers' replicas are stale too. */
    private static final Duration MIN_STALENESS_OF_PARTITION = Duration.ofSeconds(4);

    private final ControllerParts parts;

    ControllerHealth(ControllerParts parts) {
        this.parts = parts;
    }

    /**
     * Whether this controller can serve requests. It stays healthy in an outage of the state store that affects all controllers: staying in
     * service is then better than all of them leaving it.
     */
    boolean isHealthy() {
        return parts.shared.replica.isLoaded()
                && !parts.shared.formatUpgrade.isStoredFormatTooNew()
                && !isWaitingForCatalog()
                && parts.shared.membership.incarnation() > 0
                && !isPartitioned();
    }

    /**
     * Whether this controller still waits for the catalog after its start. Status requests need no catalog, so a cloud that does not answer must
     * not make this controller unhealthy permanently.
     */
    private boolean isWaitingForCatalog() {
        return parts.machines.catalog.types().isEmpty()
                && parts.shared.timeSource.now().compareTo(CATALOG_TIMEOUT) < 0;
    }

    /**
     * Whether only this controller cannot read the state store. In an outage for all controllers, the others still answer
     * and report that their replicas are stale too. If none answers, it must be assumed that they continue without this
     * controller.
     */
    boolean isPartitioned() {
        if (parts.shared.replica.staleness().compareTo(MIN_STALENESS_OF_PARTITION) < 0) {
            return false;
        }
        PeerHeartbeats peerHeartbeats = parts.workers.peerHeartbeats;
        if (peerHeartbeats.livePeers().isEmpty()) {
            return !parts.shared.settings.seeds().isEmpty();
        }
        return peerHeartbeats.hearsControllerWithFreshReplica();
    }
}
