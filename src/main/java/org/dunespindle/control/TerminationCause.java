package org.dunespindle.control;

/** What became of an allocation. */
public enum TerminationCause {
    DONE,
    GONE,
    ERROR,
    WAITED_IN_VAIN,
    REFUSED
}
