package org.dunespindle.peer;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A heartbeat that one controller sends to another.
 *
 * @param appliedRevision the revision that the sender's replica has applied; the reply names the jobs cancelled since
 * @param machineReports changes of the sender's machines; sent to the leader only
 */
record PeerHeartbeat(SenderStatus sender, OptionalLong appliedRevision, Optional<MachineReportBatch> machineReports) {}
