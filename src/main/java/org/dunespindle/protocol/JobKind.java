package org.dunespindle.protocol;

import java.util.Optional;

/** What a job's tasks are to one another. */
public enum JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("array"),
    /** All tasks run at the same time or none does. */
    GANG("group"),
    /** Independent tasks that run until the job is cancelled. */
    SERVICE("daemon");

    private final String wire;

    JobKind(String wire) {
        this.wire = wire;
    }

    /** The name on the wire. */
    public String wire() {
        return wire;
    }

    /** Reads the name on the wire. */
    public static Optional<JobKind> parse(String text) {
        for (JobKind s : values()) {
            if (s.wire.equals(text)) {
                return Optional.of(s);
            }
        }
        return Optional.empty();
    }
}
