package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Submission;

/**
 * The stored state of a job. The record is immutable: each transition returns a new one.
 *
 * <p>The tasks of an array start in index order, so {@code nextTaskIndex}, {@code requeued} and {@code allocations} suffice:
 * every other task below {@code nextTaskIndex} is done. The record's size is bounded by the number of tasks in progress, not by
 * the total number of tasks.
 *
 * @param spec the submission; empty for a finished job without allocations, of which only the outcome is kept
 * @param attemptCounter the source of attempt numbers; only increases
 * @param nextTaskIndex the first task of an array that was never placed
 * @param requeued tasks below {@code nextTaskIndex} that must be placed again, in start order
 * @param gangAttempt the common attempt of a gang's real tasks, while {@link GangPhase#RUNNING}
 * @param queuePosition the position in the team's queue of gangs: the arrival in milliseconds, a later time after a requeue
 * @param failures the total number of task failures
 * @param notBefore the earliest time of the next placement, after a failure
 * @param delegationLink the link to the cell that the job was delegated to or accepted from
 */
public record JobRecord(
        String id,
        Optional<Submission> spec,
        Instant arrived,
        Outcome outcome,
        long attemptCounter,
        int nextTaskIndex,
        List<Integer> requeued,
        List<Allocation> allocations,
        GangPhase gangPhase,
        long gangAttempt,
        long queuePosition,
        int failures,
        Optional<Instant> notBefore,
        Optional<DelegationLink> delegationLink) {

    /** The attempt counter of a job before its first placement; every placement increases it. */
    private static final long FIRST_ATTEMPT = 1;

    /** The outcome of a job; {@link #OPEN} until it ends. */
    public enum Outcome {
        /** Neither done nor cancelled yet. */
        OPEN,
        /** All of its tasks are done. */
        DONE,
        /** Its user or an operator cancelled it, or its origin cell withdrew it; tasks may still be stopping. */
        CANCELLED
    }

    /** The phases of a gang, whose tasks start and stop together. */
    public enum GangPhase {
        /** No task is placed. */
        QUEUED("IDLE"),
        /** Placeholders reserve capacity until every task has a machine. */
        PLACEHOLDERS("HOLD"),
        /** The real tasks run. */
        RUNNING("REAL"),
        /** All tasks are being stopped; the gang is queued again once the last one is released. */
        STOPPING("STOP");

        private final String stored;

        GangPhase(String stored) {
            this.stored = stored;
        }

        /** The name in the stored record, which differs from the name of the constant. */
        String stored() {
            return stored;
        }

        /** Parses the name in the stored record. */
        static GangPhase parse(String text) throws MalformedMessageException {
            for (GangPhase phase : values()) {
                if (phase.stored.equals(text)) {
                    return phase;
                }
            }
            throw new MalformedMessageException("unknown gang phase " + text);
        }
    }

    /** The record of a newly accepted job. */
    public static JobRecord accepted(Submission spec, Instant now) {
        return new JobRecord(
                spec.id(),
                Optional.of(spec),
                now,
                Outcome.OPEN,
                FIRST_ATTEMPT,
                0,
                List.of(),
                List.of(),
                GangPhase.QUEUED,
                0,
                now.toEpochMilli(),
                0,
                Optional.empty(),
                Optional.empty());
    }

    /** The record of a job accepted from its origin cell, with the time at which it arrived there. */
    public static JobRecord acceptedFromOrigin(Submission spec, Instant arrived, InboundDelegation link) {
        return accepted(spec, arrived).withDelegationLink(link);
    }

    /**
     * The record of a delegation that ended without the job being accepted, so that a delayed or repeated offer is refused.
     *
     * @param cancelled true if the job was cancelled, false if its origin withdrew it or this cell declined it
     */
    public static JobRecord tombstone(String id, Instant now, InboundDelegation link, boolean cancelled) {
        return finished(id, now, Outcome.CANCELLED, 0, Optional.of(cancelled ? link : link.withdraw()));
    }

    /** The record of an ended job without allocations, of which only the outcome and the number of completed tasks are kept. */
    static JobRecord finished(
            String id, Instant arrived, Outcome outcome, int tasksDone, Optional<DelegationLink> delegationLink) {
        return new JobRecord(
                id,
                Optional.empty(),
                arrived,
                outcome,
                0,
                tasksDone,
                List.of(),
                List.of(),
                GangPhase.QUEUED,
                0,
                0,
                0,
                Optional.empty(),
                delegationLink);
    }

    /** Parses the stored form as one value. */
    public static JobRecord parse(String id, JsonNode node) throws MalformedMessageException {
        return JobRecordCodec.parse(id, node);
    }

    /** The stored form as one value. */
    public ObjectNode toNode() {
        return JobRecordCodec.toNode(this);
    }

    /** Whether the job is neither done nor cancelled. */
    public boolean isOpen() {
        return outcome == Outcome.OPEN;
    }

    /** The link to the remote cell that this cell, as the origin, delegated the job to. */
    public Optional<OutboundDelegation> outboundDelegation() {
        return delegationLink.filter(OutboundDelegation.class::isInstance).map(OutboundDelegation.class::cast);
    }

    /** The link to the job's origin, if that is another cell. */
    public Optional<InboundDelegation> inboundDelegation() {
        return delegationLink.filter(InboundDelegation.class::isInstance).map(InboundDelegation.class::cast);
    }

    /** Whether a remote cell may hold the job, in which case none of its tasks may be placed in this cell. */
    public boolean isDelegatedAway() {
        return outboundDelegation().filter(OutboundDelegation::outstanding).isPresent();
    }

    /** Whether no task of the job was ever placed. */
    public boolean neverPlaced() {
        return attemptCounter == FIRST_ATTEMPT && allocations.isEmpty() && failures == 0;
    }

    /** The submission, which must be present: the job is open or has allocations. */
    public Submission submission() {
        return spec.orElseThrow();
    }

    /** The number of completed tasks, for display. */
    public int doneCount() {
        if (spec.isEmpty()) {
            return nextTaskIndex;
        }
        if (submission().isGang() || !isOpen()) {
            return 0;
        }
        return nextTaskIndex - requeued.size() - allocations.size();
    }

    /** The number of running tasks, for display; a gang's placeholders do not count. */
    public int runningCount() {
        boolean placeholders = spec.isPresent() && submission().isGang() && gangPhase != GangPhase.RUNNING;
        return isOpen() && !placeholders ? allocations.size() : 0;
    }

    /** The indices of up to {@code maxCount} tasks that still need a machine, in start order. */
    public IntArrayList unplaced(int maxCount) {
        return UnplacedTasks.first(this, maxCount);
    }

    /** The number of tasks that still need a machine. */
    public int unplacedCount() {
        return UnplacedTasks.count(this);
    }

    /** The attempt number under which an allocation's task is to run on its machine. */
    public long expectedAttempt(Allocation allocation) {
        if (!submission().isGang()) {
            return allocation.attemptBase();
        }
        boolean realTasks = gangPhase == GangPhase.RUNNING || (gangPhase == GangPhase.STOPPING && gangAttempt > 0);
        return realTasks ? gangAttempt : allocation.attemptBase() + allocation.task();
    }

    /** The allocation of a task; empty if the task is not placed. */
    public Optional<Allocation> allocation(int task) {
        for (Allocation allocation : allocations) {
            if (allocation.task() == task) {
                return Optional.of(allocation);
            }
        }
        return Optional.empty();
    }

    /**
     * Places tasks on machines under new attempts.
     *
     * @param machineIds the machine id by task index
     */
    public JobRecord withPlaced(Map<Integer, String> machineIds) {
        return JobRecordTransitions.place(this, machineIds);
    }

    /** Starts the real tasks of a gang under a new common attempt, once all its placeholders are ready. */
    public JobRecord withGangRunning() {
        return JobRecordTransitions.runGang(this);
    }

    /** Places a placeholder that ended unexpectedly on the same machine again, under a new attempt. */
    public JobRecord withPlaceholderReplaced(int task) {
        return JobRecordTransitions.replacePlaceholder(this, task);
    }

    /** Stops all tasks of a gang, which is queued again once every task is released. */
    public JobRecord withGangStopping() {
        return JobRecordTransitions.stopGang(this);
    }

    /** Marks one task's allocation as being stopped. */
    public JobRecord withTaskStopping(int task) {
        return JobRecordTransitions.stopTask(this, task);
    }

    /** Releases the allocation of a task that has provably ended. An array's task is requeued unless it is done. */
    public JobRecord withReleased(int task, boolean done) {
        return withReleased(Map.of(task, done));
    }

    /**
     * Releases several allocations in one pass, since a pass per task would be slow for large arrays.
     *
     * @param doneByTask by index of an ended task, whether it is done
     */
    public JobRecord withReleased(Map<Integer, Boolean> doneByTask) {
        return JobRecordTransitions.release(this, doneByTask);
    }

    /** Completes a gang, whose tasks are all done. */
    public JobRecord gangCompleted() {
        return JobRecordTransitions.complete(this);
    }

    /** Completes a delegated job, all of whose tasks are done according to the remote cell. */
    public JobRecord completedRemotely() {
        return JobRecordTransitions.complete(this);
    }

    /** Cancels the job. Its allocations remain until each task has provably ended. */
    public JobRecord cancelled() {
        return JobRecordTransitions.cancel(this);
    }

    /** Ends a job accepted from another cell before any of its tasks was placed, so that its origin may place it. */
    public JobRecord withdrawn() {
        return withDelegationLink(inboundDelegation().orElseThrow().withdraw()).cancelled();
    }

    /** Replaces the link to another cell. */
    public JobRecord withDelegationLink(DelegationLink link) {
        return copy().delegationLink(Optional.of(link)).build();
    }

    /** Adds task failures and sets the earliest time of the next placement. */
    public JobRecord withFailures(int more, Optional<Instant> retryAt) {
        return copy().failures(failures + more).notBefore(retryAt).build();
    }

    /** Moves a gang to another position in its team's queue. */
    public JobRecord withQueuePosition(long position) {
        return copy().queuePosition(position).build();
    }

    /** Returns a builder initialized with this record. */
    JobRecordBuilder copy() {
        return new JobRecordBuilder(this);
    }
}
