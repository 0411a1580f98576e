package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MalformedException;
import org.dunespindle.protocol.Submission;

/**
 * A job as the state service keeps it.
 *
 * <p>Array tasks start in index order, so {@code next} (the first index never started), the ones to
 * start again and the allocations say everything: the rest below {@code next} is done. The record's size
 * follows what is under way, never the number of tasks.
 *
 * @param spec empty for a finished job without allocations: only its final state is kept
 * @param generation source of attempts; only grows
 * @param attempt a gang's common attempt, while {@link Mode#REAL}
 * @param order place in the team's queue of gangs: arrival in milliseconds, later after a requeue
 * @param tie how the job is tied to another cell: given away, or taken in
 */
public record JobRecord(
        String id,
        Optional<Submission> spec,
        Instant arrived,
        End end,
        long generation,
        int next,
        List<Integer> again,
        List<Allocation> allocations,
        Mode mode,
        long attempt,
        long order,
        int failures,
        Optional<Instant> notBefore,
        Optional<CellTie> tie) {

    /** The first value of the source of attempts, which every booking raises. */
    private static final long FIRST_GENERATION = 1;

    /** How a job ended, if it did. */
    public enum End {
        OPEN,
        DONE,
        CANCELLED
    }

    /** Where a gang stands: queued, placeholders being placed, real tasks, or being stopped as a whole. */
    public enum Mode {
        IDLE("IDLE"),
        HOLD("HOLD"),
        REAL("REAL"),
        STOP("STOP");

        private final String stored;

        Mode(String stored) {
            this.stored = stored;
        }

        /** The name in the stored record. */
        String stored() {
            return stored;
        }

        /** Reads the name in the stored record. */
        static Mode parse(String text) throws MalformedException {
            for (Mode mode : values()) {
                if (mode.stored.equals(text)) {
                    return mode;
                }
            }
            throw new MalformedException("unknown gang phase " + text);
        }
    }

    /** The record of a job that has just been accepted. */
    public static JobRecord accepted(Submission spec, Instant now) {
        return new JobRecord(
                spec.id(),
                Optional.of(spec),
                now,
                End.OPEN,
                FIRST_GENERATION,
                0,
                List.of(),
                List.of(),
                Mode.IDLE,
                0,
                now.toEpochMilli(),
                0,
                Optional.empty(),
                Optional.empty());
    }

    /** Whether the job is neither done nor cancelled. */
    public boolean open() {
        return end == End.OPEN;
    }

    /** How the job stands between this cell, which accepted it from its user, and others. */
    public Optional<Delegation> delegation() {
        return tie.filter(Delegation.class::isInstance).map(Delegation.class::cast);
    }

    /** Whose job it is, if another cell accepted it from its user. */
    public Optional<Visit> visit() {
        return tie.filter(Visit.class::isInstance).map(Visit.class::cast);
    }

    /** Whether another cell may hold the job, so that nothing of it may be placed here. */
    public boolean away() {
        return delegation().filter(Delegation::outstanding).isPresent();
    }

    /** Whether no task of it was ever booked, let alone started. */
    public boolean untouched() {
        return generation == FIRST_GENERATION && allocations.isEmpty() && failures == 0;
    }

    /** What the user submitted; only present while the job is open or holds allocations. */
    public Submission job() {
        return spec.orElseThrow();
    }

    /** Tasks done, for display. */
    public int doneCount() {
        if (spec.isEmpty()) {
            return next;
        }
        return job().gang() || end != End.OPEN ? 0 : next - again.size() - allocations.size();
    }

    /** Tasks running, for display: a gang's placeholders are none. */
    public int runningCount() {
        boolean placing = spec.isPresent() && job().gang() && mode != Mode.REAL;
        return open() && !placing ? allocations.size() : 0;
    }

    /** Indexes without an allocation and not done, in the order they should start. */
    public IntArrayList unplaced(int most) {
        var list = new IntArrayList();
        if (!open() || away()) {
            return list;
        }
        if (job().gang()) {
            if (mode == Mode.REAL || mode == Mode.STOP) {
                return list;
            }
            var placed = new java.util.BitSet();
            allocations.forEach(c -> placed.set(c.task()));
            for (int i = placed.nextClearBit(0);
                    i < job().tasks() && list.size() < most;
                    i = placed.nextClearBit(i + 1)) {
                list.add(i);
            }
            return list;
        }
        for (int i : again) {
            if (list.size() < most) {
                list.add(i);
            }
        }
        for (int i = next; i < job().tasks() && list.size() < most; i++) {
            list.add(i);
        }
        return list;
    }

    /** How many tasks still need a machine. */
    public int unplacedCount() {
        if (!open() || away()) {
            return 0;
        }
        if (job().gang()) {
            return mode == Mode.REAL || mode == Mode.STOP ? 0 : job().tasks() - allocations.size();
        }
        return again.size() + job().tasks() - next;
    }

    /** The attempt under which an allocation's task should be on its machine. */
    public long wantedAttempt(Allocation c) {
        return !job().gang()
                ? c.base()
                : mode == Mode.REAL || (mode == Mode.STOP && attempt > 0) ? attempt : c.base() + c.task();
    }

    /** The allocation of one task, if it has one. */
    public Optional<Allocation> allocation(int task) {
        for (Allocation c : allocations) {
            if (c.task() == task) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }

    /** Books tasks on machines, each under a fresh attempt. */
    public JobRecord placed(Map<Integer, String> places) {
        var all = new ArrayList<>(allocations);
        var waiting = new ArrayList<>(again);
        int first = next;
        for (var e : places.entrySet()) {
            all.add(new Allocation(e.getKey(), e.getValue(), generation, false));
            if (!job().gang()) {
                waiting.remove(e.getKey());
                first = Math.max(first, e.getKey() + 1);
            }
        }
        if (!job().gang()) {
            // Indexes skipped below the new frontier still have to run; without this they would count as done.
            for (int i = next; i < first; i++) {
                if (!places.containsKey(i)) {
                    waiting.add(i);
                }
            }
        }
        long used = job().gang() ? job().tasks() : 1;
        Mode m = job().gang() && mode == Mode.IDLE ? Mode.HOLD : mode;
        return new JobRecord(
                id,
                spec,
                arrived,
                end,
                generation + used,
                first,
                List.copyOf(waiting),
                List.copyOf(all),
                m,
                attempt,
                order,
                failures,
                Optional.empty(),
                tie);
    }

    /** Starts the real tasks of a gang whose placeholders all idle: one common new attempt. */
    public JobRecord real() {
        return new JobRecord(
                id,
                spec,
                arrived,
                end,
                generation + 1,
                next,
                again,
                allocations,
                Mode.REAL,
                generation,
                order,
                failures,
                notBefore,
                tie);
    }

    /** Books a placeholder again on its machine, after it gave up waiting. */
    public JobRecord rebooked(int task) {
        var all = new ArrayList<Allocation>();
        allocations.forEach(
                c -> all.add(c.task() == task ? new Allocation(task, c.host(), generation, c.stopping()) : c));
        return with(end, generation + job().tasks(), next, again, all, mode, attempt);
    }

    /** Stops a whole gang: it comes back once every member is released. */
    public JobRecord stopGang() {
        return with(
                end,
                generation,
                next,
                again,
                allocations,
                Mode.STOP,
                mode == Mode.REAL ? attempt : mode == Mode.STOP ? attempt : 0);
    }

    /** Marks one task's allocation as being stopped. */
    public JobRecord stopTask(int task) {
        var all = new ArrayList<Allocation>();
        allocations.forEach(c -> all.add(c.task() == task ? c.stopped() : c));
        return with(end, generation, next, again, all, mode, attempt);
    }

    /** Gives up an allocation whose task is proven gone; an array's task runs again unless it is done. */
    public JobRecord released(int task, boolean done) {
        return released(Map.of(task, done));
    }

    /** The same for several at once, which for a large array is one pass over its allocations instead of one for each. */
    public JobRecord released(Map<Integer, Boolean> ended) {
        var all = new ArrayList<Allocation>(allocations.size());
        allocations.forEach(c -> {
            if (!ended.containsKey(c.task())) {
                all.add(c);
            }
        });
        if (spec.isEmpty() || job().gang()) {
            Mode m = all.isEmpty() ? Mode.IDLE : mode;
            return with(end, generation, next, again, all, m, m == Mode.IDLE ? 0 : attempt)
                    .compact();
        }
        var waiting = new ArrayList<>(again);
        ended.forEach((task, done) -> {
            if (!done || job().service()) {
                waiting.add(task); // a service's task that ends is started again: only its user ends a service
            }
        });
        boolean over = end == End.OPEN && next == job().tasks() && waiting.isEmpty() && all.isEmpty();
        return with(over ? End.DONE : end, generation, next, waiting, all, mode, attempt)
                .compact();
    }

    /** A gang is done as one: its members complete together. */
    public JobRecord gangDone() {
        return with(End.DONE, generation, next, again, List.of(), Mode.IDLE, 0).compact();
    }

    /** Cancelled for good; allocations stay until each task is proven gone. */
    public JobRecord cancelled() {
        return with(End.CANCELLED, generation, next, List.of(), allocations, mode, attempt)
                .compact();
    }

    /** The same job, tied to another cell in another way. */
    public JobRecord tied(CellTie newTie) {
        return new JobRecord(
                id,
                spec,
                arrived,
                end,
                generation,
                next,
                again,
                allocations,
                mode,
                attempt,
                order,
                failures,
                notBefore,
                Optional.of(newTie));
    }

    /** A job taken in from another cell keeps the time at which it arrived there. */
    public static JobRecord visiting(Submission spec, Instant arrived, Visit visit) {
        return accepted(spec, arrived).tied(visit);
    }

    /** The cell that holds the job told that all of its tasks are done. */
    public JobRecord doneElsewhere() {
        return with(End.DONE, generation, next, again, List.of(), Mode.IDLE, 0).compact();
    }

    /** Ends a job taken in from another cell before any of its tasks was booked; its own cell may place it again. */
    public JobRecord withdrawn() {
        return tied(visit().orElseThrow().withdraw()).cancelled();
    }

    /** Remembers that a transfer is over before its job ever came: an offer of it that is still under way is refused. */
    public static JobRecord tombstone(String id, Instant now, Visit visit, boolean cancelled) {
        return new JobRecord(
                id,
                Optional.empty(),
                now,
                End.CANCELLED,
                0,
                0,
                List.of(),
                List.of(),
                Mode.IDLE,
                0,
                0,
                0,
                Optional.empty(),
                Optional.of(cancelled ? visit : visit.withdraw()));
    }

    /** Counts failures and delays the next attempt. */
    public JobRecord failed(int more, Optional<Instant> until) {
        return new JobRecord(
                id,
                spec,
                arrived,
                end,
                generation,
                next,
                again,
                allocations,
                mode,
                attempt,
                order,
                failures + more,
                until,
                tie);
    }

    /** Moves a gang to another place in its team's queue. */
    public JobRecord requeued(long newOrder) {
        return new JobRecord(
                id,
                spec,
                arrived,
                end,
                generation,
                next,
                again,
                allocations,
                mode,
                attempt,
                newOrder,
                failures,
                notBefore,
                tie);
    }

    private JobRecord with(End e, long g, int n, List<Integer> a, List<Allocation> c, Mode m, long t) {
        return new JobRecord(
                id, spec, arrived, e, g, n, List.copyOf(a), List.copyOf(c), m, t, order, failures, notBefore, tie);
    }

    private JobRecord compact() {
        if (end == End.OPEN || !allocations.isEmpty()) {
            return this;
        }
        int finished = spec.isEmpty() ? next : end == End.DONE ? job().tasks() : 0;
        return new JobRecord(
                id,
                Optional.empty(),
                arrived,
                end,
                0,
                finished,
                List.of(),
                List.of(),
                Mode.IDLE,
                0,
                0,
                0,
                Optional.empty(),
                tie.filter(Visit.class::isInstance));
    }

    /** The stored form as one value. */
    public ObjectNode toNode() {
        return JobRecordCodec.whole(this);
    }

    /** Reads the stored form as one value. */
    public static JobRecord parse(String id, JsonNode n) throws MalformedException {
        return JobRecordCodec.parse(id, n);
    }
}
