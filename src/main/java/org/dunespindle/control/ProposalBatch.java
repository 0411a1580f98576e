package org.dunespindle.control;

import java.util.ArrayList;
import java.util.List;
import org.dunespindle.storage.Transaction;

/** Proposals that are committed together, and the transaction that they are merged into. */
final class ProposalBatch {
    private final List<Proposal> proposals = new ArrayList<>();
    private final Transaction transaction = new Transaction();

    /** The proposals in the order in which they were added. */
    List<Proposal> proposals() {
        return proposals;
    }

    /** All proposals as one transaction. */
    Transaction transaction() {
        return transaction;
    }

    /**
     * Adds a proposal, or returns false without any change if it cannot share a transaction with the proposals of the batch. The first
     * proposal is limited only by the limits of a transaction.
     *
     * @param maxChanges the limit of changed keys in the batch
     * @param maxTransactionChanges the state service's limit of changed keys in one transaction
     */
    boolean tryAdd(Proposal proposal, int maxChanges, int maxTransactionChanges) {
        if (!proposals.isEmpty() && !mayJoin(proposal, maxChanges)) {
            return false;
        }
        if (!transaction.tryMerge(proposal.transaction(), maxTransactionChanges)) {
            return false;
        }
        proposals.add(proposal);
        return true;
    }

    private boolean mayJoin(Proposal proposal, int maxChanges) {
        if (proposals.get(0).exclusive() || proposal.exclusive()) {
            return false;
        }
        return transaction.changeCount() + proposal.transaction().changeCount() <= maxChanges;
    }
}
