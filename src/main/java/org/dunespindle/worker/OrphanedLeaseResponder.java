package org.dunespindle.worker;

import java.util.Optional;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.storage.MachineRecord;

/**
 * Renews the leases of workers whose controller has ended, under the stored token, until another controller owns their machines:
 * after a crash of all controllers, failover takes longer than the rest of the leases. Such a reply is safe from any
 * controller: its token is not higher than the stored one, and its only commands halt tasks of cancelled jobs.
 */
final class OrphanedLeaseResponder {
    private final ControllerContext context;
    private final LeaseRenewal leaseRenewal;

    OrphanedLeaseResponder(ControllerContext context, LeaseRenewal leaseRenewal) {
        this.context = context;
        this.leaseRenewal = leaseRenewal;
    }

    /** The reply to a heartbeat from a machine whose owner has ended; empty for any other. */
    Optional<HeartbeatReply> reply(ReceivedHeartbeat received, Optional<MachineRecord> machine) {
        return machine.filter(record -> isOrphaned(received, record))
                .map(record -> leaseRenewal.renew(received, record));
    }

    private boolean isOrphaned(ReceivedHeartbeat received, MachineRecord machine) {
        return !context.membership().isAlive(machine.owner(), machine.incarnation())
                && !leaseRenewal.isReplicaStale()
                && received.acceptsTokenOf(machine);
    }
}
