package org.dunespindle.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.bookkeeping.Replica.Placed;
import org.dunespindle.protocol.ExitCause;
import org.dunespindle.protocol.Order;
import org.dunespindle.protocol.PieceId;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerReport;

/**
 * Works out the difference between what should be on a machine and what its worker reports: commands to
 * send, and what became of claims. Pure; the caller vouches that the report is proof, that is, it comes
 * under the present token and session and no {@code run} can still be under way.
 */
public final class Reconciler {
    private static final Duration EXTRA_GRACE = Duration.ofSeconds(3);

    private Reconciler() {}

    /** What became of a claim. */
    public enum Fate {
        DONE,
        GONE,
        ERROR,
        WAITED_IN_VAIN,
        REFUSED
    }

    /**
     * A claim's fate, to be recorded before the worker may forget the task. It names the claim by its base too: by the time it
     * is recorded the task may have been booked again, and must not be taken for ended then.
     */
    public record Event(String job, int task, long base, Fate fate, String why) {}

    /** The outcome for one machine. */
    public record Verdict(List<Order> orders, List<Event> events) {}

    public static Verdict judge(List<Placed> claims, WorkerReport report) {
        var orders = new ArrayList<Order>();
        var events = new ArrayList<Event>();
        var byTask = new HashMap<PieceId, List<TaskStatus>>();
        report.tasks()
                .forEach(t -> byTask.computeIfAbsent(t.task(), k -> new ArrayList<>(2))
                        .add(t));
        Set<PieceId> claimed = new HashSet<>();
        for (Placed p : claims) {
            PieceId id = new PieceId(p.job().id(), p.claim().task());
            claimed.add(id);
            judgeClaim(p, id, byTask.getOrDefault(id, List.of()), orders, events);
        }
        for (Map.Entry<PieceId, List<TaskStatus>> e : byTask.entrySet()) {
            if (!claimed.contains(e.getKey())) {
                e.getValue()
                        .forEach(t -> orders.add(
                                t.exited()
                                        ? new Order.Forget(t.task(), t.attempt())
                                        : new Order.Halt(t.task(), t.attempt(), Duration.ZERO)));
            }
        }
        return new Verdict(orders, events);
    }

    private static void judgeClaim(
            Placed p, PieceId id, List<TaskStatus> present, List<Order> orders, List<Event> events) {
        JobRecord job = p.job();
        long wanted = job.wantedAttempt(p.claim());
        boolean stop = !job.open() || p.claim().stopping() || job.mode() == JobRecord.Mode.STOP;
        boolean othersLive = false;
        TaskStatus own = null;
        for (TaskStatus t : present) {
            if (t.attempt() == wanted) {
                own = t;
            } else if (t.exited()) {
                orders.add(new Order.Forget(id, t.attempt()));
            } else {
                othersLive = true;
                // Another attempt: a placeholder to be replaced, or a leftover. Its release is confirmed by the next
                // report.
                orders.add(new Order.Halt(id, t.attempt(), Duration.ZERO));
            }
        }
        if (own != null && own.exited()) {
            if (!othersLive) {
                events.add(new Event(job.id(), id.index(), p.claim().base(), fate(own, job, p), why(own)));
            }
        } else if (own != null) {
            if (stop && own.phase() != TaskPhase.SAVING) {
                orders.add(new Order.Halt(id, wanted, grace(job)));
            } else if (stop && !job.open()) {
                orders.add(new Order.Halt(id, wanted, Duration.ZERO));
            }
        } else if (!othersLive) {
            if (stop) {
                events.add(new Event(job.id(), id.index(), p.claim().base(), Fate.GONE, "released"));
            } else {
                orders.add(new Order.Run(id, wanted));
            }
        }
    }

    /** A cancelled job's progress is of no use to anybody; others may save. */
    private static Duration grace(JobRecord job) {
        return job.open() && job.job().saves() ? job.job().saveTime().plus(EXTRA_GRACE) : Duration.ZERO;
    }

    private static Fate fate(TaskStatus t, JobRecord job, Placed p) {
        return switch (t.cause().orElse(ExitCause.STOPPED)) {
            case DONE -> Fate.DONE;
            case ERROR -> Fate.ERROR;
            case NO_ROOM, BUSY, UNKNOWN -> Fate.REFUSED;
            case INCOMPLETE ->
                job.mode() == JobRecord.Mode.HOLD && job.open() && !p.claim().stopping()
                        ? Fate.WAITED_IN_VAIN
                        : Fate.GONE;
            default -> Fate.GONE;
        };
    }

    private static String why(TaskStatus t) {
        return t.cause().map(ExitCause::wire).orElse("ended") + (t.saved() ? ", saved" : "");
    }
}
