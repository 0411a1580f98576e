package org.dunespindle.federation;

/** A request to another cell failed or received no valid reply. */
public final class CellCallException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception; the message is a gRPC status or a short reason. */
    public CellCallException(String message) {
        super(message);
    }
}
