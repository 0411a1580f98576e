package org.dunespindle;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.dunespindle.time.TimeSource;

/** The system's clocks, and timers on a Netty event loop. */
record EventLoopTimeSource(EventLoop loop, long originNanos) implements TimeSource {
    EventLoopTimeSource(EventLoop loop) {
        this(loop, System.nanoTime());
    }

    @Override
    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - originNanos);
    }

    @Override
    public Instant wallTime() {
        return Instant.now();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
