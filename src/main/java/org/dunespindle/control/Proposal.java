package org.dunespindle.control;

import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;

/**
 * A transaction that waits in the {@link CommitQueue}.
 *
 * @param lockedKeys the keys that it writes; they are locked until its outcome is known
 * @param callback receives the outcome
 * @param exclusive whether it must not share a transaction with other proposals
 */
record Proposal(
        CommitPriority priority,
        Set<String> lockedKeys,
        Transaction transaction,
        Consumer<TransactionResult> callback,
        boolean exclusive) {

    /** Creates a proposal that may be batched with others. */
    static Proposal of(CommitPriority priority, Transaction transaction, Consumer<TransactionResult> callback) {
        return new Proposal(priority, Set.copyOf(transaction.changes().keySet()), transaction, callback, false);
    }

    /** A copy of the proposal that is committed in a separate transaction. */
    Proposal asExclusive() {
        return new Proposal(priority, lockedKeys, transaction, callback, true);
    }

    /** Whether any of its preconditions is on one of these keys. */
    boolean requiresAnyOf(Set<String> keys) {
        return transaction.preconditions().keySet().stream().anyMatch(keys::contains);
    }
}
