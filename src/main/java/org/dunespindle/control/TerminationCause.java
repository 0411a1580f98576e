package org.dunespindle.control;

/** Why an allocation ended. */
public enum TerminationCause {
    /** The task succeeded. */
    DONE,
    /** The task was stopped or released, or its machine or gang was lost; it is placed again while its job is open. */
    GONE,
    /** The task exited with an error. */
    ERROR,
    /** A gang member's placeholder timed out before all members were placed; a new placeholder replaces it. */
    ASSEMBLY_TIMEOUT,
    /** The worker did not accept the task. */
    REJECTED
}
