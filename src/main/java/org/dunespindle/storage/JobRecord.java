package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Submission;

/**
 * A job as the state service keeps it.
 *
 * <p>Array tasks start in index order, so {@code next} (the first index never started), the ones to
 * start again and the allocations say everything: the rest below {@code next} is done. The record's size
 * follows what is under way, never the number of tasks.
 *
 * @param spec empty for a finished job without allocations: only its final state is kept
 * @param attemptCounter source of attempts; only grows
 * @param gangAttempt a gang's common attempt, while {@link GangPhase#RUNNING}
 * @param queuePosition place in the team's queue of gangs: arrival in milliseconds, later after a requeue
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

    /** The first value of the source of attempts, which every booking raises. */
    private static final long FIRST_GENERATION = 1;

    /** How a job ended, if it did. */
    public enum Outcome {
        OPEN,
        DONE,
        CANCELLED
    }

    /** Where a gang stands: queued, placeholders being placed, real tasks, or being stopped as a whole. */
    public enum GangPhase {
        QUEUED("IDLE"),
        PLACEHOLDERS("HOLD"),
        RUNNING("REAL"),
        STOPPING("STOP");

        private final String stored;

        GangPhase(String stored) {
            this.stored = stored;
        }

        /** The name in the stored record. */
        String stored() {
            return stored;
        }

        /** Reads the name in the stored record. */
        static GangPhase parse(String text) throws MalformedMessageException {
            for (GangPhase mode : values()) {
                if (mode.stored.equals(text)) {
                    return mode;
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
                FIRST_GENERATION,
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

    /** Whether the job is neither done nor cancelled. */
    public boolean isOpen() {
        return outcome == Outcome.OPEN;
    }

    /** How the job stands between this cell, which accepted it from its user, and others. */
    public Optional<OutboundDelegation> outboundDelegation() {
        return delegationLink.filter(OutboundDelegation.class::isInstance).map(OutboundDelegation.class::cast);
    }

    /** Whose job it is, if another cell accepted it from its user. */
    public Optional<InboundDelegation> inboundDelegation() {
        return delegationLink.filter(InboundDelegation.class::isInstance).map(InboundDelegation.class::cast);
    }

    /** Whether another cell may hold the job, so that nothing of it may be placed here. */
    public boolean isDelegatedAway() {
        return outboundDelegation().filter(OutboundDelegation::outstanding).isPresent();
    }

    /** Whether no task of it was ever booked, let alone started. */
    public boolean neverPlaced() {
        return attemptCounter == FIRST_GENERATION && allocations.isEmpty() && failures == 0;
    }

    /** What the user submitted; only present while the job is open or holds allocations. */
    public Submission submission() {
        return spec.orElseThrow();
    }

    /** Tasks done, for display. */
    public int doneCount() {
        if (spec.isEmpty()) {
            return nextTaskIndex;
        }
        return submission().isGang() || outcome != Outcome.OPEN
                ? 0
                : nextTaskIndex - requeued.size() - allocations.size();
    }

    /** Tasks running, for display: a gang's placeholders are none. */
    public int runningCount() {
        boolean placing = spec.isPresent() && submission().isGang() && gangPhase != GangPhase.RUNNING;
        return isOpen() && !placing ? allocations.size() : 0;
    }

    /** Indexes without an allocation and not done, in the order they should start. */
    public IntArrayList unplaced(int most) {
        var list = new IntArrayList();
        if (!isOpen() || isDelegatedAway()) {
            return list;
        }
        if (submission().isGang()) {
            if (gangPhase == GangPhase.RUNNING || gangPhase == GangPhase.STOPPING) {
                return list;
            }
            var placed = new java.util.BitSet();
            allocations.forEach(allocation -> placed.set(allocation.task()));
            for (int i = placed.nextClearBit(0);
                    i < submission().tasks() && list.size() < most;
                    i = placed.nextClearBit(i + 1)) {
                list.add(i);
            }
            return list;
        }
        for (int i : requeued) {
            if (list.size() < most) {
                list.add(i);
            }
        }
        for (int i = nextTaskIndex; i < submission().tasks() && list.size() < most; i++) {
            list.add(i);
        }
        return list;
    }

    /** How many tasks still need a machine. */
    public int unplacedCount() {
        if (!isOpen() || isDelegatedAway()) {
            return 0;
        }
        if (submission().isGang()) {
            return gangPhase == GangPhase.RUNNING || gangPhase == GangPhase.STOPPING
                    ? 0
                    : submission().tasks() - allocations.size();
        }
        return requeued.size() + submission().tasks() - nextTaskIndex;
    }

    /** The attempt under which an allocation's task should be on its machine. */
    public long expectedAttempt(Allocation allocation) {
        return !submission().isGang()
                ? allocation.attemptBase()
                : gangPhase == GangPhase.RUNNING || (gangPhase == GangPhase.STOPPING && gangAttempt > 0)
                        ? gangAttempt
                        : allocation.attemptBase() + allocation.task();
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

    /** Books tasks on machines, each under a fresh attempt. */
    public JobRecord withPlaced(Map<Integer, String> places) {
        var all = new ArrayList<>(allocations);
        var waiting = new ArrayList<>(requeued);
        int first = nextTaskIndex;
        for (var e : places.entrySet()) {
            all.add(new Allocation(e.getKey(), e.getValue(), attemptCounter, false));
            if (!submission().isGang()) {
                waiting.remove(e.getKey());
                first = Math.max(first, e.getKey() + 1);
            }
        }
        if (!submission().isGang()) {
            // Indexes skipped below the new frontier still have to run; without this they would count as done.
            for (int i = nextTaskIndex; i < first; i++) {
                if (!places.containsKey(i)) {
                    waiting.add(i);
                }
            }
        }
        long used = submission().isGang() ? submission().tasks() : 1;
        GangPhase m = submission().isGang() && gangPhase == GangPhase.QUEUED ? GangPhase.PLACEHOLDERS : gangPhase;
        return new JobRecord(
                id,
                spec,
                arrived,
                outcome,
                attemptCounter + used,
                first,
                List.copyOf(waiting),
                List.copyOf(all),
                m,
                gangAttempt,
                queuePosition,
                failures,
                Optional.empty(),
                delegationLink);
    }

    /** Starts the real tasks of a gang whose placeholders all idle: one common new attempt. */
    public JobRecord withGangRunning() {
        return new JobRecord(
                id,
                spec,
                arrived,
                outcome,
                attemptCounter + 1,
                nextTaskIndex,
                requeued,
                allocations,
                GangPhase.RUNNING,
                attemptCounter,
                queuePosition,
                failures,
                notBefore,
                delegationLink);
    }

    /** Books a placeholder again on its machine, after it gave up waiting. */
    public JobRecord withPlaceholderReplaced(int task) {
        var all = new ArrayList<Allocation>();
        allocations.forEach(allocation -> all.add(
                allocation.task() == task
                        ? new Allocation(task, allocation.machineId(), attemptCounter, allocation.stopping())
                        : allocation));
        return withProgress(
                outcome, attemptCounter + submission().tasks(), nextTaskIndex, requeued, all, gangPhase, gangAttempt);
    }

    /** Stops a whole gang: it comes back once every member is released. */
    public JobRecord withGangStopping() {
        return withProgress(
                outcome,
                attemptCounter,
                nextTaskIndex,
                requeued,
                allocations,
                GangPhase.STOPPING,
                gangPhase == GangPhase.RUNNING ? gangAttempt : gangPhase == GangPhase.STOPPING ? gangAttempt : 0);
    }

    /** Marks one task's allocation as being stopped. */
    public JobRecord withTaskStopping(int task) {
        var all = new ArrayList<Allocation>();
        allocations.forEach(allocation -> all.add(allocation.task() == task ? allocation.stopped() : allocation));
        return withProgress(outcome, attemptCounter, nextTaskIndex, requeued, all, gangPhase, gangAttempt);
    }

    /** Gives up an allocation whose task is proven gone; an array's task runs again unless it is done. */
    public JobRecord withReleased(int task, boolean done) {
        return withReleased(Map.of(task, done));
    }

    /** The same for several at once, which for a large array is one pass over its allocations instead of one for each. */
    public JobRecord withReleased(Map<Integer, Boolean> ended) {
        var all = new ArrayList<Allocation>(allocations.size());
        allocations.forEach(allocation -> {
            if (!ended.containsKey(allocation.task())) {
                all.add(allocation);
            }
        });
        if (spec.isEmpty() || submission().isGang()) {
            GangPhase m = all.isEmpty() ? GangPhase.QUEUED : gangPhase;
            return withProgress(
                            outcome,
                            attemptCounter,
                            nextTaskIndex,
                            requeued,
                            all,
                            m,
                            m == GangPhase.QUEUED ? 0 : gangAttempt)
                    .compact();
        }
        var waiting = new ArrayList<>(requeued);
        ended.forEach((task, done) -> {
            if (!done || submission().isService()) {
                waiting.add(task); // a service's task that ends is started again: only its user ends a service
            }
        });
        boolean over =
                outcome == Outcome.OPEN && nextTaskIndex == submission().tasks() && waiting.isEmpty() && all.isEmpty();
        return withProgress(
                        over ? Outcome.DONE : outcome,
                        attemptCounter,
                        nextTaskIndex,
                        waiting,
                        all,
                        gangPhase,
                        gangAttempt)
                .compact();
    }

    /** A gang is done as one: its members complete together. */
    public JobRecord gangDone() {
        return withProgress(Outcome.DONE, attemptCounter, nextTaskIndex, requeued, List.of(), GangPhase.QUEUED, 0)
                .compact();
    }

    /** Cancelled for good; allocations stay until each task is proven gone. */
    public JobRecord cancelled() {
        return withProgress(
                        Outcome.CANCELLED,
                        attemptCounter,
                        nextTaskIndex,
                        List.of(),
                        allocations,
                        gangPhase,
                        gangAttempt)
                .compact();
    }

    /** The same job, tied to another cell in another way. */
    public JobRecord withDelegationLink(DelegationLink newTie) {
        return new JobRecord(
                id,
                spec,
                arrived,
                outcome,
                attemptCounter,
                nextTaskIndex,
                requeued,
                allocations,
                gangPhase,
                gangAttempt,
                queuePosition,
                failures,
                notBefore,
                Optional.of(newTie));
    }

    /** A job taken in from another cell keeps the time at which it arrived there. */
    public static JobRecord acceptedFromOrigin(Submission spec, Instant arrived, InboundDelegation visit) {
        return accepted(spec, arrived).withDelegationLink(visit);
    }

    /** The cell that holds the job told that all of its tasks are done. */
    public JobRecord doneElsewhere() {
        return withProgress(Outcome.DONE, attemptCounter, nextTaskIndex, requeued, List.of(), GangPhase.QUEUED, 0)
                .compact();
    }

    /** Ends a job taken in from another cell before any of its tasks was booked; its own cell may place it again. */
    public JobRecord withdrawn() {
        return withDelegationLink(inboundDelegation().orElseThrow().withdraw()).cancelled();
    }

    /** Remembers that a transfer is over before its job ever came: an offer of it that is still under way is refused. */
    public static JobRecord tombstone(String id, Instant now, InboundDelegation visit, boolean cancelled) {
        return new JobRecord(
                id,
                Optional.empty(),
                now,
                Outcome.CANCELLED,
                0,
                0,
                List.of(),
                List.of(),
                GangPhase.QUEUED,
                0,
                0,
                0,
                Optional.empty(),
                Optional.of(cancelled ? visit : visit.withdraw()));
    }

    /** Counts failures and delays the next attempt. */
    public JobRecord withFailures(int more, Optional<Instant> until) {
        return new JobRecord(
                id,
                spec,
                arrived,
                outcome,
                attemptCounter,
                nextTaskIndex,
                requeued,
                allocations,
                gangPhase,
                gangAttempt,
                queuePosition,
                failures + more,
                until,
                delegationLink);
    }

    /** Moves a gang to another place in its team's queue. */
    public JobRecord withQueuePosition(long newOrder) {
        return new JobRecord(
                id,
                spec,
                arrived,
                outcome,
                attemptCounter,
                nextTaskIndex,
                requeued,
                allocations,
                gangPhase,
                gangAttempt,
                newOrder,
                failures,
                notBefore,
                delegationLink);
    }

    private JobRecord withProgress(Outcome e, long g, int n, List<Integer> a, List<Allocation> c, GangPhase m, long t) {
        return new JobRecord(
                id,
                spec,
                arrived,
                e,
                g,
                n,
                List.copyOf(a),
                List.copyOf(c),
                m,
                t,
                queuePosition,
                failures,
                notBefore,
                delegationLink);
    }

    private JobRecord compact() {
        if (outcome == Outcome.OPEN || !allocations.isEmpty()) {
            return this;
        }
        int finished = spec.isEmpty()
                ? nextTaskIndex
                : outcome == Outcome.DONE ? submission().tasks() : 0;
        return new JobRecord(
                id,
                Optional.empty(),
                arrived,
                outcome,
                0,
                finished,
                List.of(),
                List.of(),
                GangPhase.QUEUED,
                0,
                0,
                0,
                Optional.empty(),
                delegationLink.filter(InboundDelegation.class::isInstance));
    }

    /** The stored form as one value. */
    public ObjectNode toNode() {
        return JobRecordCodec.whole(this);
    }

    /** Reads the stored form as one value. */
    public static JobRecord parse(String id, JsonNode n) throws MalformedMessageException {
        return JobRecordCodec.parse(id, n);
    }
}
