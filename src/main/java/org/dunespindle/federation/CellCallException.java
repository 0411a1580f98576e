package org.dunespindle.federation;

/** A request to another cell that got no usable answer. */
public final class CellCallException extends Exception {
    private static final long serialVersionUID = 1;

    /** Tells what went wrong, in a few words. */
    public CellCallException(String message) {
        super(message);
    }
}
