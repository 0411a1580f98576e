package org.dunespindle.control;

/** Who goes first when writes are scarce. */
public enum CommitPriority {
    USERS,
    PLACEMENT,
    MAINTENANCE
}
