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
 * every other task below {@code nextTaskIndex} is done. The record's size is bounded by the tasks in progress, never by the
 * number of tasks.
 *
 * @param spec empty for a finished job without allocations: only its outcome is kept
 * @param attemptCounter source of attempt numbers; only increases
 * @param nextTaskIndex the first task of an array that was never placed
 * @param requeued tasks below {@code nextTaskIndex} that have to be placed again, in the order in which they should start
 * @param gangAttempt a gang's common attempt, while {@link GangPhase#RUNNING}
 * @param queuePosition place in the team's queue of gangs: arrival in milliseconds, later after a requeue
 * @param failures how often its tasks have failed
 * @param notBefore when the next task may be placed, after a failure
 * @param delegationLink how the job is linked to another cell: delegated to it, or accepted from it
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

    /** The attempt counter of a job none of whose tasks was ever placed; every placement raises it. */
    private static final long FIRST_ATTEMPT = 1;

    /** How a job ended, if it did. */
    public enum Outcome {
        /** Neither done nor cancelled yet. */
        OPEN,
        /** All of its tasks are done. */
        DONE,
        /** Its user or an operator cancelled it, or it was withdrawn; tasks may still be stopping. */
        CANCELLED
    }

    /** The phases of a gang, whose tasks start and stop together. */
    public enum GangPhase {
        /** No task is placed. */
        QUEUED("IDLE"),
        /** Placeholders hold capacity until every task has a machine. */
        PLACEHOLDERS("HOLD"),
        /** The real tasks run. */
        RUNNING("REAL"),
        /** All tasks are being stopped; the gang is queued again once the last one is released. */
        STOPPING("STOP");

        private final String stored;

        GangPhase(String stored) {
            this.stored = stored;
        }

        /** The name in the stored record, which differs from the constant's. */
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

    /** The record of a job that has just been accepted. */
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

    /** The record of a job accepted from another cell, which keeps the time at which it arrived there. */
    public static JobRecord acceptedFromOrigin(Submission spec, Instant arrived, InboundDelegation link) {
        return accepted(spec, arrived).withDelegationLink(link);
    }

    /**
     * The record of a delegation that ended before its job arrived: an offer of it that is still under way is refused.
     *
     * @param cancelled whether the job was cancelled, rather than withdrawn by its origin
     */
    public static JobRecord tombstone(String id, Instant now, InboundDelegation link, boolean cancelled) {
        return finished(id, now, Outcome.CANCELLED, 0, Optional.of(cancelled ? link : link.withdraw()));
    }

    /** The record of a job without allocations that has ended: only its outcome and the number of tasks done are kept. */
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

    /** The link to the cell that this cell, as the origin, delegated the job to. */
    public Optional<OutboundDelegation> outboundDelegation() {
        return delegationLink.filter(OutboundDelegation.class::isInstance).map(OutboundDelegation.class::cast);
    }

    /** The link to the job's origin, if that is another cell. */
    public Optional<InboundDelegation> inboundDelegation() {
        return delegationLink.filter(InboundDelegation.class::isInstance).map(InboundDelegation.class::cast);
    }

    /** Whether another cell may hold the job, so that none of its tasks may be placed here. */
    public boolean isDelegatedAway() {
        return outboundDelegation().filter(OutboundDelegation::outstanding).isPresent();
    }

    /** Whether none of its tasks was ever placed, let alone started. */
    public boolean neverPlaced() {
        return attemptCounter == FIRST_ATTEMPT && allocations.isEmpty() && failures == 0;
    }

    /** What the user submitted; only present while the job is open or has allocations. */
    public Submission submission() {
        return spec.orElseThrow();
    }

    /** Tasks done, for display. */
    public int doneCount() {
        if (spec.isEmpty()) {
            return nextTaskIndex;
        }
        if (submission().isGang() || !isOpen()) {
            return 0;
        }
        return nextTaskIndex - requeued.size() - allocations.size();
    }

    /** Tasks running, for display; a gang's placeholders do not count. */
    public int runningCount() {
        boolean placeholders = spec.isPresent() && submission().isGang() && gangPhase != GangPhase.RUNNING;
        return isOpen() && !placeholders ? allocations.size() : 0;
    }

    /** The indices of tasks that still need a machine, at most so many, in the order in which they should start. */
    public IntArrayList unplaced(int maxCount) {
        return UnplacedTasks.first(this, maxCount);
    }

    /** How many tasks still need a machine. */
    public int unplacedCount() {
        return UnplacedTasks.count(this);
    }

    /** The attempt under which an allocation's task should run on its machine. */
    public long expectedAttempt(Allocation allocation) {
        if (!submission().isGang()) {
            return allocation.attemptBase();
        }
        boolean realTasks = gangPhase == GangPhase.RUNNING || (gangPhase == GangPhase.STOPPING && gangAttempt > 0);
        return realTasks ? gangAttempt : allocation.attemptBase() + allocation.task();
    }

    /** The allocation of one task, if it has one. */
    public Optional<Allocation> allocation(int task) {
        for (Allocation allocation : allocations) {
            if (allocation.task() == task) {
                return Optional.of(allocation);
            }
        }
        return Optional.empty();
    }

    /**
     * Places tasks on machines, each under a new attempt.
     *
     * @param machineIds the machine for each task
     */
    public JobRecord withPlaced(Map<Integer, String> machineIds) {
        return JobTransitions.place(this, machineIds);
    }

    /** Starts the real tasks of a gang, all of whose placeholders are ready, under one new common attempt. */
    public JobRecord withGangRunning() {
        return JobTransitions.runGang(this);
    }

    /** Places a placeholder on its machine again, under a new attempt, after it ended by itself. */
    public JobRecord withPlaceholderReplaced(int task) {
        return JobTransitions.replacePlaceholder(this, task);
    }

    /** Stops a whole gang: it is queued again once every task is released. */
    public JobRecord withGangStopping() {
        return JobTransitions.stopGang(this);
    }

    /** Marks one task's allocation as being stopped. */
    public JobRecord withTaskStopping(int task) {
        return JobTransitions.stopTask(this, task);
    }

    /** Releases the allocation of a task that is proven to have ended; an array's task is requeued unless it is done. */
    public JobRecord withReleased(int task, boolean done) {
        return withReleased(Map.of(task, done));
    }

    /**
     * Releases several allocations in one pass, which matters for large arrays.
     *
     * @param doneByTask whether each of the ended tasks is done
     */
    public JobRecord withReleased(Map<Integer, Boolean> doneByTask) {
        return JobTransitions.release(this, doneByTask);
    }

    /** A gang that is done; its tasks complete together. */
    public JobRecord gangCompleted() {
        return JobTransitions.complete(this);
    }

    /** A delegated job all of whose tasks are done, as the cell that holds it has reported. */
    public JobRecord completedRemotely() {
        return JobTransitions.complete(this);
    }

    /** A cancelled job; its allocations stay until each task is proven to have ended. */
    public JobRecord cancelled() {
        return JobTransitions.cancel(this);
    }

    /** Ends a job accepted from another cell before any of its tasks was placed; its origin may place it again. */
    public JobRecord withdrawn() {
        return withDelegationLink(inboundDelegation().orElseThrow().withdraw()).cancelled();
    }

    /** The job with another link to another cell. */
    public JobRecord withDelegationLink(DelegationLink link) {
        return copy().delegationLink(Optional.of(link)).build();
    }

    /** Counts failures and delays the next attempt. */
    public JobRecord withFailures(int more, Optional<Instant> retryAt) {
        return copy().failures(failures + more).notBefore(retryAt).build();
    }

    /** Moves a gang to another position in its team's queue. */
    public JobRecord withQueuePosition(long position) {
        return copy().queuePosition(position).build();
    }

    /** A builder of a changed copy. */
    JobRecordBuilder copy() {
        return new JobRecordBuilder(this);
    }
}
