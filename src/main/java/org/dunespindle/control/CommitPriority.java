package org.dunespindle.control;

/** The order in which proposals share a scarce write rate; declared from the most urgent to the least urgent. */
public enum CommitPriority {
    /** Requests of users, who wait for the answer. */
    USERS,
    /** Placement of tasks and ownership of machines. */
    PLACEMENT,
    /** Everything that can wait. */
    MAINTENANCE
}
