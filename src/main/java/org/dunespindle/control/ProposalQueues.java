package org.dunespindle.control;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Pending proposals: one first-in-first-out queue for each priority, the most urgent priority served first. */
final class ProposalQueues {
    private final Map<CommitPriority, ArrayDeque<Proposal>> queues = new EnumMap<>(CommitPriority.class);

    ProposalQueues() {
        for (CommitPriority priority : CommitPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /** How many proposals are pending. */
    int size() {
        return queues.values().stream().mapToInt(ArrayDeque::size).sum();
    }

    /** How many proposals of this priority are pending. */
    int size(CommitPriority priority) {
        return queues.get(priority).size();
    }

    /** Appends a proposal to the queue of its priority. */
    void add(Proposal proposal) {
        queues.get(proposal.priority()).addLast(proposal);
    }

    /** Returns proposals to the head of their queues, in the order of the list. */
    void requeue(List<Proposal> proposals) {
        for (int i = proposals.size() - 1; i >= 0; i--) {
            Proposal proposal = proposals.get(i);
            queues.get(proposal.priority()).addFirst(proposal);
        }
    }

    /** The proposal that is next. */
    Optional<Proposal> head() {
        return queues.values().stream()
                .filter(queue -> !queue.isEmpty())
                .findFirst()
                .map(ArrayDeque::peekFirst);
    }

    /** Removes the proposal that is next. */
    void removeHead(Proposal head) {
        queues.get(head.priority()).pollFirst();
    }

    /**
     * Removes the proposals that are committed next: from each queue as many as fit, in order.
     *
     * @param maxChanges how many keys the batch may change
     * @param maxTransactionChanges how many keys the state service lets one transaction change
     */
    ProposalBatch removeBatch(int maxChanges, int maxTransactionChanges) {
        var batch = new ProposalBatch();
        for (ArrayDeque<Proposal> queue : queues.values()) {
            while (!queue.isEmpty() && batch.tryAdd(queue.peekFirst(), maxChanges, maxTransactionChanges)) {
                queue.pollFirst();
            }
        }
        return batch;
    }
}
