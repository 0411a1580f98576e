package org.dunespindle.storage;

import java.util.Set;
import org.dunespindle.transport.HttpStatus;

/** The outcome of a transaction. */
public sealed interface TransactionResult {
    /** The transaction was applied, at this revision. */
    record Applied(long revision) implements TransactionResult {}

    /** Preconditions on these keys failed; nothing was changed. */
    record Conflict(Set<String> failedKeys) implements TransactionResult {}

    /**
     * The transaction was certainly not applied.
     *
     * @param status the HTTP status, or 0 if the request was never sent
     * @param reason the store's explanation
     */
    record Refused(int status, String reason) implements TransactionResult {
        /** Whether it was refused only for its rate: the same transaction may be sent again. */
        public boolean isRateLimited() {
            return status == HttpStatus.TOO_MANY_REQUESTS;
        }

        /** Whether it was refused for its content: the same transaction will be refused again. */
        public boolean isPermanent() {
            return status == HttpStatus.BAD_REQUEST || status == HttpStatus.CONTENT_TOO_LARGE;
        }
    }

    /** The transaction may have been applied, or may yet be. */
    record Unknown() implements TransactionResult {}
}
