package org.dunespindle.control;

import java.util.Optional;
import java.util.function.Predicate;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Leader election: a controller that finds no live leader writes the leader's key by compare-and-swap under its own lease. */
final class LeaderElection {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private final StateStoreClient stateStore;
    private final StateReplica replica;
    private boolean campaigning;

    LeaderElection(StateStoreClient stateStore, StateReplica replica) {
        this.stateStore = stateStore;
        this.replica = replica;
    }

    /** The stored leader, which may have crashed. */
    Optional<LeaderRecord> leader() {
        return replica.value(Keys.LEADER).map(LeaderRecord::parse);
    }

    /** Tries to become the leader unless the stored leader is alive. */
    void campaign(LeaderRecord candidate, long lease, Predicate<LeaderRecord> isAlive) {
        if (campaigning || leader().filter(isAlive).isPresent()) {
            return;
        }
        campaigning = true;
        var transaction = new Transaction()
                .requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .writeWithLease(Keys.LEADER, candidate.toNode(), lease);
        stateStore.commit(transaction).thenAccept(result -> {
            if (result instanceof TransactionResult.Applied applied) {
                replica.applyCommitted(transaction, applied.revision());
                LOG.info("leadership acquired node={} incarnation={}", candidate.node(), candidate.incarnation());
            }
            replica.refresh(this::endCampaign, this::endCampaign);
        });
    }

    private void endCampaign() {
        campaigning = false;
    }
}
