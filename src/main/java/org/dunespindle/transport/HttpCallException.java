package org.dunespindle.transport;

import java.util.concurrent.CompletionException;

/**
 * The failure of a request that got no complete response. A request that was not {@link #sent} is never executed; one that was sent may
 * be executed at any later time.
 */
public class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;
    private final boolean sent;

    /** Creates a failure without a stack trace; {@code sent} is whether the request may have arrived. */
    public HttpCallException(String message, boolean sent) {
        super(message, null, false, false);
        this.sent = sent;
    }

    /** Whether the request may have arrived. */
    public boolean sent() {
        return sent;
    }

    /** The cause of a failed call without the {@link CompletionException} that a future's dependent stages add. */
    public static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
