package org.dunespindle.bookkeeping;

/** What became of a transaction. */
public sealed interface TxnResult {
    /** Applied, at this revision. */
    record Applied(long revision) implements TxnResult {}

    /** A guard failed; nothing was changed. */
    record Conflict() implements TxnResult {}

    /** Certainly not applied. */
    record Refused(int status, String why) implements TxnResult {}

    /** It may have been applied, or may yet be. */
    record Unknown() implements TxnResult {}
}
