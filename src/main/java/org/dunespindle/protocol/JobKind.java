package org.dunespindle.protocol;

import java.util.Optional;

/** How a job's tasks depend on one another and when they end. */
public enum JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("array"),
    /** Tasks that all run at the same time or not at all. */
    GANG("group"),
    /** Independent tasks that run until the job is cancelled. */
    SERVICE("daemon");

    private final String wireName;

    JobKind(String wireName) {
        this.wireName = wireName;
    }

    /** The name on the wire. */
    public String wireName() {
        return wireName;
    }

    /** Reads the name on the wire; empty if it is unknown. */
    public static Optional<JobKind> parse(String text) {
        for (JobKind kind : values()) {
            if (kind.wireName.equals(text)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
