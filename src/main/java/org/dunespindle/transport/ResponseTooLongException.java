package org.dunespindle.transport;

/** An answer longer than this process takes in; the same request would fail the same way again. */
public final class ResponseTooLongException extends HttpCallException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure. */
    public ResponseTooLongException() {
        super("the answer is too long", true);
    }
}
