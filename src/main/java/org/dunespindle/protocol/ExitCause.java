package org.dunespindle.protocol;

import java.util.Locale;

/** Why a task ended; the lower-case names of the constants are sent on the wire. */
public enum ExitCause {
    /** The task has completed. */
    DONE,
    /** The task was stopped before it completed. */
    STOPPED,
    /** Another member of the task's running gang was lost. */
    PEERS,
    /** The task's gang was not complete within the gang assembly timeout. */
    INCOMPLETE,
    /** The task failed. */
    ERROR,
    /** The worker rejected the start: its free capacity was too small. */
    NO_ROOM,
    /** The worker rejected the start: it still held another attempt of the task. */
    BUSY,
    /** Handled as a rejected start, like {@link #NO_ROOM} and {@link #BUSY}. */
    UNKNOWN;

    /** Reads the name on the wire. A name that no constant has is read as {@link #STOPPED}: the task has ended without completing. */
    public static ExitCause parse(String text) {
        for (ExitCause cause : values()) {
            if (cause.name().toLowerCase(Locale.ROOT).equals(text)) {
                return cause;
            }
        }
        return STOPPED;
    }

    /** The name on the wire. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
