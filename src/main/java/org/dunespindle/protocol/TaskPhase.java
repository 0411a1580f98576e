package org.dunespindle.protocol;

import java.util.Optional;

/** The phase of a task as its worker reports it. */
public enum TaskPhase {
    /** The worker fetches the task's image. */
    FETCHING("pulling"),
    /** A gang's task waits until all members of its gang have started. */
    ASSEMBLING("gathering"),
    RUNNING("running"),
    /** A stopped task writes a checkpoint. */
    SAVING("saving"),
    EXITED("exited");

    private final String wireName;

    TaskPhase(String wireName) {
        this.wireName = wireName;
    }

    /** The name on the wire. */
    public String wireName() {
        return wireName;
    }

    /** Reads the name on the wire; empty if it is unknown. */
    public static Optional<TaskPhase> parse(String text) {
        for (TaskPhase phase : values()) {
            if (phase.wireName.equals(text)) {
                return Optional.of(phase);
            }
        }
        return Optional.empty();
    }
}
