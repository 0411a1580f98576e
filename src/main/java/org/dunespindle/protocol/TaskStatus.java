package org.dunespindle.protocol;

import java.util.Optional;

/**
 * One task in a worker's heartbeat.
 *
 * @param cause why the task ended; empty while it has not
 * @param saved whether the task saved its progress before it ended
 */
public record TaskStatus(TaskId task, long attempt, TaskPhase phase, Optional<ExitCause> cause, boolean saved) {
    /** Whether the task has ended on this machine. */
    public boolean exited() {
        return phase == TaskPhase.EXITED;
    }
}
