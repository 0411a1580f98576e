package org.dunespindle.transport;

/** An answer longer than this process takes in; the same request would fail the same way again. */
public final class AnswerTooLong extends CallFailure {
    private static final long serialVersionUID = 1L;

    /** Creates the failure. */
    public AnswerTooLong() {
        super("the answer is too long", true);
    }
}
