package org.dunespindle.control;

/** What became of an allocation. */
public enum TerminationCause {
    DONE,
    GONE,
    ERROR,
    ASSEMBLY_TIMEOUT,
    REJECTED
}
