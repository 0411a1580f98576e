package org.dunespindle.protocol;

import java.util.Optional;

/** What a worker says of a task. */
public enum TaskPhase {
    FETCHING("pulling"),
    ASSEMBLING("gathering"),
    RUNNING("running"),
    SAVING("saving"),
    EXITED("exited");

    private final String wire;

    TaskPhase(String wire) {
        this.wire = wire;
    }

    /** The name on the wire. */
    public String wire() {
        return wire;
    }

    /** Reads the name on the wire. */
    public static Optional<TaskPhase> parse(String text) {
        for (TaskPhase p : values()) {
            if (p.wire.equals(text)) {
                return Optional.of(p);
            }
        }
        return Optional.empty();
    }
}
