package org.dunespindle.protocol;

/** A message that is not what the protocol says; its text names the field. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names what is wrong, for the sender. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
