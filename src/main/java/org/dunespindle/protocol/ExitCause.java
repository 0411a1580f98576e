package org.dunespindle.protocol;

import java.util.Locale;

/** Why a task ended. */
public enum ExitCause {
    DONE,
    STOPPED,
    PEERS,
    INCOMPLETE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN;

    /** An unheard-of cause counts as {@link #STOPPED}: the task is gone and not done. */
    public static ExitCause parse(String text) {
        for (ExitCause c : values()) {
            if (c.name().toLowerCase(Locale.ROOT).equals(text)) {
                return c;
            }
        }
        return STOPPED;
    }

    /** The name on the wire. */
    public String wire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
