package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.Transaction;
import org.junit.jupiter.api.Test;

/** The order in which pending proposals are batched. */
class ProposalQueuesTest {
    private static final int MAX_TRANSACTION_CHANGES = 16;
    private final ProposalQueues queues = new ProposalQueues();

    private static Proposal proposal(CommitPriority priority, String key) {
        return Proposal.of(priority, new Transaction().write(key, MessagePackCodec.map()), result -> {});
    }

    private List<String> keysOfNextBatch(int maxChanges) {
        return queues.removeBatch(maxChanges, MAX_TRANSACTION_CHANGES).proposals().stream()
                .flatMap(proposal -> proposal.lockedKeys().stream())
                .toList();
    }

    @Test
    void urgentProposalsOvertakeOthers() {
        queues.add(proposal(CommitPriority.MAINTENANCE, "maintenance"));
        queues.add(proposal(CommitPriority.PLACEMENT, "placement"));
        queues.add(proposal(CommitPriority.USERS, "user"));
        assertEquals(List.of("user", "placement"), keysOfNextBatch(2));
        assertEquals(List.of("maintenance"), keysOfNextBatch(2));
        assertEquals(0, queues.size());
    }

    @Test
    void requeuedProposalsKeepTheirOrderAndComeFirst() {
        queues.add(proposal(CommitPriority.PLACEMENT, "a"));
        queues.add(proposal(CommitPriority.PLACEMENT, "b"));
        queues.add(proposal(CommitPriority.PLACEMENT, "c"));
        List<Proposal> batch = queues.removeBatch(2, MAX_TRANSACTION_CHANGES).proposals();
        queues.requeue(batch);
        assertEquals(List.of("a", "b", "c"), keysOfNextBatch(3));
    }

    @Test
    void anExclusiveProposalIsSentAlone() {
        queues.requeue(List.of(
                proposal(CommitPriority.PLACEMENT, "a").asExclusive(),
                proposal(CommitPriority.PLACEMENT, "b").asExclusive()));
        queues.add(proposal(CommitPriority.PLACEMENT, "c"));
        assertEquals(List.of("a"), keysOfNextBatch(3));
        assertEquals(List.of("b"), keysOfNextBatch(3));
        assertEquals(List.of("c"), keysOfNextBatch(3));
    }

    @Test
    void theFirstProposalMayExceedTheBatchLimit() {
        Transaction large = new Transaction()
                .write("a", MessagePackCodec.map())
                .write("b", MessagePackCodec.map())
                .write("c", MessagePackCodec.map());
        queues.add(Proposal.of(CommitPriority.PLACEMENT, large, result -> {}));
        queues.add(proposal(CommitPriority.PLACEMENT, "d"));
        assertEquals(3, keysOfNextBatch(2).size());
        assertEquals(List.of("d"), keysOfNextBatch(2));
    }

    @Test
    void proposalsForTheSameKeyDoNotShareABatch() {
        queues.add(proposal(CommitPriority.PLACEMENT, "a"));
        queues.add(proposal(CommitPriority.PLACEMENT, "a"));
        assertEquals(List.of("a"), keysOfNextBatch(3));
        assertEquals(List.of("a"), keysOfNextBatch(3));
    }
}
