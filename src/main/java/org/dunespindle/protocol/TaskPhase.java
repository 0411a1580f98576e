package org.dunespindle.protocol;

import java.util.Optional;

/** The phase of a task as its worker reports it. */
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

    /** Reads the name on the wire; empty if it is unknown. */
    public static Optional<TaskPhase> parse(String text) {
        for (TaskPhase phase : values()) {
            if (phase.wire.equals(text)) {
                return Optional.of(phase);
            }
        }
        return Optional.empty();
    }
}
