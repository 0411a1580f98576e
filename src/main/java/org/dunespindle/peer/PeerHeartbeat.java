package org.dunespindle.peer;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A heartbeat that one controller sends to another.
 *
 * @param appliedRevision the revision that the sender's replica has applied; the reply lists the jobs cancelled after it
 * @param machineReports changed reports of the sender's machines; absent in heartbeats to controllers that do not lead
 */
record PeerHeartbeat(SenderStatus sender, OptionalLong appliedRevision, Optional<MachineReportBatch> machineReports) {}
