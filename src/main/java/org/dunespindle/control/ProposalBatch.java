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
     * Adds a proposal; false, and nothing done, if it can't share a transaction with those already here. The first one is bounded
     * only by the limits of a transaction.
     *
     * @param maxChanges how many keys the batch may change
     * @param maxTransactionChanges how many keys the state service lets one transaction change
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
