package org.dunespindle.storage;

import java.util.Set;

/** What became of a transaction. */
public sealed interface TransactionResult {
    /** Applied, at this revision. */
    record Applied(long revision) implements TransactionResult {}

    /** Guards on these keys failed; nothing was changed. */
    record Conflict(Set<String> failed) implements TransactionResult {}

    /** Certainly not applied. */
    record Refused(int status, String why) implements TransactionResult {
        private static final int TOO_MANY = 429;
        private static final int MALFORMED = 400;
        private static final int TOO_LONG = 413;

        /** Whether it was refused only for its rate: the same change may be sent again. */
        public boolean tooMany() {
            return status == TOO_MANY;
        }

        /** Whether it was refused for what it holds: the same change will be refused again. */
        public boolean asItIs() {
            return status == MALFORMED || status == TOO_LONG;
        }
    }

    /** It may have been applied, or may yet be. */
    record Unknown() implements TransactionResult {}
}
