package org.dunespindle.protocol;

import java.util.Locale;
import java.util.Optional;

/** Job priorities, lowest first, so that {@code compareTo} orders them. The lower-case names are sent on the wire. */
public enum Priority {
    LOW,
    NORMAL,
    URGENT,
    CRITICAL;

    /** Reads the name on the wire; empty if it is unknown. */
    public static Optional<Priority> parse(String text) {
        for (Priority p : values()) {
            if (p.wireName().equals(text)) {
                return Optional.of(p);
            }
        }
        return Optional.empty();
    }

    /** The name on the wire. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
