package org.dunespindle.sim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.dunespindle.time.TimeSource;

/** Virtual time: events in order, nothing waits for real. */
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

    /** Runs after every event: what must hold at any moment is checked here. */
    public void afterEach(Runnable check) {
        afterEach.add(check);
    }

    /** Schedules work. */
    public void after(Duration delay, Runnable work) {
        queue.add(new Event(now.plus(delay.isNegative() ? Duration.ZERO : delay), sequence++, work));
    }

    /** Schedules work after so many milliseconds. */
    public void after(long millis, Runnable work) {
        after(Duration.ofMillis(millis), work);
    }

    /** Runs everything that is due until then. */
    public void run(Duration until) {
        while (!queue.isEmpty() && queue.peek().at().compareTo(until) <= 0) {
            Event e = queue.poll();
            now = e.at();
            e.work().run();
            afterEach.forEach(Runnable::run);
        }
        now = until;
    }

    /** A process's timers: they die with it. */
    public final class SimulatedProcess implements TimeSource {
        private boolean dead;
        private Duration frozenUntil = Duration.ZERO;
        /** How much its steady clock has lost by being suspended. */
        private Duration behind = Duration.ZERO;

        /** Ends the process: none of its timers fires any more. */
        public void kill() {
            dead = true;
        }

        /** Whether it has ended. */
        public boolean isDead() {
            return dead;
        }

        /** From now on it does nothing while its clocks go on; what arrives meanwhile is there when it wakes. */
        public void freeze(Duration length) {
            frozenUntil = now.plus(length);
        }

        /**
         * It does nothing, and its steady clock stands still too: a suspended virtual machine. Afterwards it seems to itself as if no time
         * had passed, and only the time of day has moved on.
         */
        public void suspend(Duration length) {
            freeze(length);
            VirtualTime.this.after(length, () -> behind = behind.plus(length));
        }

        /** Whether it stands still. */
        public boolean frozen() {
            return now.compareTo(frozenUntil) < 0;
        }

        /** Something that arrives from outside: on waking all of it is read before overdue timers fire. */
        public void arrive(Runnable work) {
            if (dead) {
                return;
            }
            if (frozen()) {
                VirtualTime.this.after(frozenUntil.minus(now), () -> arrive(work));
            } else {
                work.run();
            }
        }

        private void fire(Duration due, Runnable work) {
            if (dead) {
                return;
            }
            if (frozen()) {
                VirtualTime.this.after(frozenUntil.minus(now).plusMillis(1), () -> fire(due, work));
            } else if (now().compareTo(due) < 0) {
                VirtualTime.this.after(due.minus(now()), () -> fire(due, work));
            } else {
                work.run();
            }
        }

        @Override
        public Duration now() {
            return now.minus(behind);
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
