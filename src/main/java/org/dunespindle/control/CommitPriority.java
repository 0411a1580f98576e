package org.dunespindle.control;

/** The priority of a proposal when the write rate is scarce; declared from the most urgent to the least urgent. */
public enum CommitPriority {
    /** Requests of users, which are answered after the commit. */
    USERS,
    /** Placement of tasks and ownership of machines. */
    PLACEMENT,
    /** Changes that can be delayed. */
    MAINTENANCE
}
