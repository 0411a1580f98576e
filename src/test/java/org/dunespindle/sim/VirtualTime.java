package org.dunespindle.sim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.dunespindle.time.TimeSource;

/**
 * A discrete-event scheduler: runs events in the order of their virtual times, without real waiting. Events of equal time run in the order
 * in which they were scheduled.
 */
public final class VirtualTime {
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private Duration now = Duration.ZERO;
    private long sequence;
    private final List<Runnable> afterEach = new ArrayList<>();
    public final Random random;

    private record Event(Duration at, long sequence, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int c = at.compareTo(o.at);
            return c != 0 ? c : Long.compare(sequence, o.sequence);
        }
    }

    /** Creates a simulation whose random choices follow from the seed. */
    public VirtualTime(long seed) {
        this.random = new Random(seed);
    }

    /** Virtual time since the start. */
    public Duration now() {
        return now;
    }

    /** Adds a check that runs after every event. */
    public void afterEach(Runnable check) {
        afterEach.add(check);
    }

    /** Schedules work after a delay; a negative delay counts as zero. */
    public void after(Duration delay, Runnable work) {
        queue.add(new Event(now.plus(delay.isNegative() ? Duration.ZERO : delay), sequence++, work));
    }

    /** Schedules work after a delay in milliseconds. */
    public void after(long millis, Runnable work) {
        after(Duration.ofMillis(millis), work);
    }

    /** Runs all events up to and including the given time and advances the clock to it. */
    public void run(Duration until) {
        while (!queue.isEmpty() && queue.peek().at().compareTo(until) <= 0) {
            Event e = queue.poll();
            now = e.at();
            e.work().run();
            afterEach.forEach(Runnable::run);
        }
        now = until;
    }

    /** The clocks and timers of a simulated process. Timers are dropped when it ends. */
    public final class SimulatedProcess implements TimeSource {
        private boolean dead;
        private Duration frozenUntil = Duration.ZERO;
        /** How far its monotonic clock lags behind virtual time because of suspensions. */
        private Duration monotonicLag = Duration.ZERO;

        /** Ends the process; no timer of it fires afterwards. */
        public void kill() {
            dead = true;
        }

        /** Returns whether the process has ended. */
        public boolean isDead() {
            return dead;
        }

        /** Stops execution for a while; its clocks advance. Messages that arrive meanwhile are processed on waking. */
        public void freeze(Duration length) {
            frozenUntil = now.plus(length);
        }

        /**
         * Stops execution and the monotonic clock for a while, like a suspended virtual machine. Afterwards only
         * the wall-clock time has advanced.
         */
        public void suspend(Duration length) {
            freeze(length);
            VirtualTime.this.after(length, () -> monotonicLag = monotonicLag.plus(length));
        }

        /** Returns whether execution is stopped. */
        public boolean isFrozen() {
            return now.compareTo(frozenUntil) < 0;
        }

        /** Processes an incoming message. After a freeze all messages received meanwhile are processed before overdue timers fire. */
        public void arrive(Runnable work) {
            if (dead) {
                return;
            }
            if (isFrozen()) {
                VirtualTime.this.after(frozenUntil.minus(now), () -> arrive(work));
            } else {
                work.run();
            }
        }

        private void fire(Duration due, Runnable work) {
            if (dead) {
                return;
            }
            if (isFrozen()) {
                VirtualTime.this.after(frozenUntil.minus(now).plusMillis(1), () -> fire(due, work));
            } else if (now().compareTo(due) < 0) {
                VirtualTime.this.after(due.minus(now()), () -> fire(due, work));
            } else {
                work.run();
            }
        }

        @Override
        public Duration now() {
            return now.minus(monotonicLag);
        }

        @Override
        public Instant wallTime() {
            return Instant.ofEpochSecond(1_700_000_000).plus(now);
        }

        @Override
        public void schedule(Duration delay, Runnable work) {
            Duration due = now().plus(delay);
            VirtualTime.this.after(delay, () -> fire(due, work));
        }
    }
}
