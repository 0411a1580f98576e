package org.dunespindle.storage;

import java.util.Set;
import org.dunespindle.transport.HttpStatus;

/** The outcome of a transaction. */
public sealed interface TransactionResult {
    /** The transaction was committed at this revision. */
    record Applied(long revision) implements TransactionResult {}

    /** The preconditions on these keys failed; no change was applied. */
    record Conflict(Set<String> failedKeys) implements TransactionResult {}

    /**
     * The transaction was rejected and is guaranteed not to have been applied.
     *
     * @param status the HTTP status, or 0 if the request was never sent
     * @param reason the store's explanation
     */
    record Refused(int status, String reason) implements TransactionResult {
        /** Whether it was rejected because of the rate limit, so that the same transaction may be retried. */
        public boolean isRateLimited() {
            return status == HttpStatus.TOO_MANY_REQUESTS;
        }

        /** Whether it was rejected because of its content, so that a retry would be rejected too. */
        public boolean isPermanent() {
            return status == HttpStatus.BAD_REQUEST || status == HttpStatus.CONTENT_TOO_LARGE;
        }
    }

    /** It is unknown whether the transaction was or will be applied. */
    record Unknown() implements TransactionResult {}
}
