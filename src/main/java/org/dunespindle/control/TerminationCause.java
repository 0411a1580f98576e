package org.dunespindle.control;

/** Why an allocation ended. */
public enum TerminationCause {
    /** The task finished successfully. */
    DONE,
    /** The task was stopped or released, or its machine or gang was lost; it is placed again if its job is open. */
    GONE,
    /** The task failed by itself. */
    ERROR,
    /** The placeholder of a gang's member waited too long for the others; a new one takes its place. */
    ASSEMBLY_TIMEOUT,
    /** The worker did not accept the task. */
    REJECTED
}
