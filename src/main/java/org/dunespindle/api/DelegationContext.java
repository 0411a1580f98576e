package org.dunespindle.api;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;

/**
 * The parts of a controller that its {@link JobDelegation} uses.
 *
 * @param feasibility checks whether a job can ever run in this cell; empty until the machine types have been read
 * @param waitReason explains why an unfinished job waits in this cell
 * @param machineTypes the types that the cell's cloud rents out; empty until they have been read
 */
public record DelegationContext(
        Settings settings,
        TimeSource timeSource,
        StateReplica replica,
        JobRecordWriter jobWriter,
        Membership membership,
        CommitQueue commitQueue,
        EventRecorder eventRecorder,
        Supplier<Options> options,
        Function<Submission, Optional<FeasibilityResult>> feasibility,
        Function<JobRecord, String> waitReason,
        Supplier<List<MachineType>> machineTypes) {

    /**
     * The result of checking whether a job can ever run in this cell, which is possible once the machine types have been read.
     *
     * @param infeasibilityReason the reason why it cannot; empty if it can
     */
    public record FeasibilityResult(Optional<String> infeasibilityReason) {}
}
