package org.dunespindle.control;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Pending proposals: one FIFO queue for each priority; the most urgent priority is served first. */
final class ProposalQueues {
    private final Map<CommitPriority, ArrayDeque<Proposal>> queues = new EnumMap<>(CommitPriority.class);

    ProposalQueues() {
        for (CommitPriority priority : CommitPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /** The number of pending proposals. */
    int size() {
        return queues.values().stream().mapToInt(ArrayDeque::size).sum();
    }

    /** The number of pending proposals of this priority. */
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

    /** The next proposal to send. */
    Optional<Proposal> head() {
        return queues.values().stream()
                .filter(queue -> !queue.isEmpty())
                .findFirst()
                .map(ArrayDeque::peekFirst);
    }

    /** Removes the next proposal to send. */
    void removeHead(Proposal head) {
        queues.get(head.priority()).pollFirst();
    }

    /**
     * Removes the next batch of proposals: from each queue as many as fit, in order.
     *
     * @param maxChanges the limit of changed keys in the batch
     * @param maxTransactionChanges the state service's limit of changed keys in one transaction
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
