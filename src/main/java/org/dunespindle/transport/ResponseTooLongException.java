package org.dunespindle.transport;

/** A response exceeded the client's size limit; repeating the same request would fail in the same way. */
public final class ResponseTooLongException extends HttpCallException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure of a request that was sent. */
    public ResponseTooLongException() {
        super("the response is too long", true);
    }
}
