package org.dunespindle.federation;

/** A request to another cell that got no usable answer. */
public final class CellCallFailure extends Exception {
    private static final long serialVersionUID = 1;

    /** Tells what went wrong, in a few words. */
    public CellCallFailure(String message) {
        super(message);
    }
}
