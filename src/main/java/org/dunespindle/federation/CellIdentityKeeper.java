package org.dunespindle.federation;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this cell's identity and generates transfer numbers. Each new leader increments the incarnation before it delegates a job.
 * The incarnation forms the high bits of a transfer number, so numbers are unique and increase from one leader to the next.
 */
final class CellIdentityKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(CellIdentityKeeper.class);
    /** The number of low bits of a transfer number that count the transfers of one incarnation. */
    private static final int COUNTER_BITS = 20;

    private final DelegationContext context;
    private final StateReplica replica;
    private final String name;
    private final RandomGenerator random;
    private long parsedRevision = -1;
    private Optional<FederationRecords.OwnCell> parsed = Optional.empty();
    private long countedIncarnation;
    private long counter;

    CellIdentityKeeper(DelegationContext context, String name, RandomGenerator random) {
        this.context = context;
        this.replica = context.replica();
        this.name = name;
        this.random = random;
    }

    /** Whether all controllers of this cell support the storage format of the federation. */
    boolean formatSupported() {
        return replica.isLoaded() && replica.formatVersion() >= FormatVersion.DELEGATION_LINKS;
    }

    /** This cell's stored identity; empty until the first leader has stored one. */
    Optional<CellId> id() {
        return stored().map(FederationRecords.OwnCell::id);
    }

    private Optional<FederationRecords.OwnCell> stored() {
        long modRevision = replica.modRevision(Keys.FEDERATION);
        if (modRevision != parsedRevision) {
            parsedRevision = modRevision;
            parsed = replica.value(Keys.FEDERATION).flatMap(value -> {
                try {
                    return Optional.of(FederationRecords.parseOwnCell(value));
                } catch (MalformedMessageException e) {
                    LOG.error(
                            "stored cell identity is unreadable, federation disabled key={} cause={}",
                            Keys.FEDERATION,
                            e.getMessage());
                    return Optional.empty();
                }
            });
        }
        return parsed;
    }

    /** Whether this controller leads and its incarnation is stored; only then may it delegate or accept jobs. */
    boolean isActiveLeader() {
        return formatSupported()
                && context.membership().isLeader()
                && stored().filter(cell -> cell.leaderRevision() == replica.modRevision(Keys.LEADER))
                        .isPresent()
                && replica.appliedRevision() >= replica.modRevision(Keys.FEDERATION);
    }

    /** Stores a new incarnation if this controller has become the leader. */
    void tick() {
        boolean due = formatSupported() && context.membership().isLeader() && !isActiveLeader();
        boolean readable =
                stored().isPresent() || replica.value(Keys.FEDERATION).isEmpty();
        boolean current = stored().filter(cell -> cell.leaderRevision() == replica.modRevision(Keys.LEADER))
                .isPresent();
        if (due && readable && !current && !context.commitQueue().isLocked(Keys.FEDERATION)) {
            incrementIncarnation();
        }
    }

    private void incrementIncarnation() {
        String identity = id().map(CellId::identity).orElseGet(this::randomToken);
        long incarnation = id().map(CellId::incarnation).orElse(0L) + 1;
        var next = new FederationRecords.OwnCell(
                new CellId(name, identity, incarnation, randomToken()), replica.modRevision(Keys.LEADER));
        Transaction transaction = guarded(new Transaction()).write(Keys.FEDERATION, FederationRecords.write(next));
        context.commitQueue().propose(CommitPriority.PLACEMENT, transaction, result -> {
            if (result instanceof TransactionResult.Applied) {
                context.eventRecorder()
                        .record(LOG, "cell incarnation stored cell={} incarnation={}", name, incarnation);
            }
        });
    }

    /** Adds the preconditions that the leader, the incarnation and the format version are unchanged. */
    Transaction guarded(Transaction transaction) {
        return transaction
                .requireRevision(Keys.FEDERATION, replica.modRevision(Keys.FEDERATION))
                .requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT));
    }

    private String randomToken() {
        return Long.toHexString(random.nextLong());
    }

    /** Allocates the next transfer number; empty if this incarnation has used up its numbers. */
    OptionalLong allocateTransferNumber() {
        long number = lowestUnallocatedNumber();
        if (counter >= 1L << COUNTER_BITS) {
            return OptionalLong.empty();
        }
        counter++;
        return OptionalLong.of(number);
    }

    /** The lowest transfer number that has not been allocated. */
    long lowestUnallocatedNumber() {
        long incarnation = id().orElseThrow().incarnation();
        if (incarnation != countedIncarnation) {
            countedIncarnation = incarnation;
            counter = 0;
        }
        return (incarnation << COUNTER_BITS) + counter;
    }
}
