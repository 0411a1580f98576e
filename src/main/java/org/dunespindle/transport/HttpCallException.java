package org.dunespindle.transport;

import java.util.concurrent.CompletionException;

/**
 * A request without an answer. Whether it was {@link #sent} decides what its sender may conclude: an
 * unsent request can never be executed, a sent one may be executed at any later time.
 */
public class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;
    private final boolean sent;

    /** Creates a failure that tells whether the request may have arrived. */
    public HttpCallException(String message, boolean sent) {
        super(message, null, false, false);
        this.sent = sent;
    }

    /** Whether the request may have arrived. */
    public boolean sent() {
        return sent;
    }

    /** What a call failed with, without the wrapping that a future's later stages add. */
    public static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
