package org.dunespindle.storage;

import java.util.Set;

/** The outcome of a transaction. */
public sealed interface TransactionResult {
    /** The transaction was applied, at this revision. */
    record Applied(long revision) implements TransactionResult {}

    /** Preconditions on these keys failed; nothing was changed. */
    record Conflict(Set<String> failed) implements TransactionResult {}

    /**
     * The transaction was certainly not applied.
     *
     * @param status the HTTP status, or 0 if the request was never sent
     * @param why the store's explanation
     */
    record Refused(int status, String why) implements TransactionResult {
        private static final int HTTP_BAD_REQUEST = 400;
        private static final int HTTP_CONTENT_TOO_LARGE = 413;
        private static final int HTTP_TOO_MANY_REQUESTS = 429;

        /** Whether it was refused only for its rate: the same transaction may be sent again. */
        public boolean tooMany() {
            return status == HTTP_TOO_MANY_REQUESTS;
        }

        /** Whether it was refused for its content: the same transaction will be refused again. */
        public boolean asItIs() {
            return status == HTTP_BAD_REQUEST || status == HTTP_CONTENT_TOO_LARGE;
        }
    }

    /** The transaction may have been applied, or may yet be. */
    record Unknown() implements TransactionResult {}
}
