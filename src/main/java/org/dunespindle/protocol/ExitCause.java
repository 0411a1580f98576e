package org.dunespindle.protocol;

import java.util.Locale;

/** Why a task ended; the lower-case names of the constants are sent on the wire. */
public enum ExitCause {
    DONE,
    STOPPED,
    PEERS,
    INCOMPLETE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN;

    /** Reads the name on the wire. An unknown cause is read as {@link #STOPPED}: the task has ended without completing. */
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
