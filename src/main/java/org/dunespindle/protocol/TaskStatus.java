package org.dunespindle.protocol;

import java.util.Optional;

/** One task in a worker's report. */
public record TaskStatus(PieceId task, long attempt, TaskPhase phase, Optional<ExitCause> cause, boolean saved) {
    public boolean exited() {
        return phase == TaskPhase.EXITED;
    }
}
