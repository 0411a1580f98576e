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
 * This cell's identity, and the numbers of its transfers. Each leader raises the incarnation before it gives anything away; a
 * number is built on it, so none is ever used twice, and none of an earlier leader's is higher.
 */
final class CellIdentityKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(CellIdentityKeeper.class);
    /** Transfers of one incarnation take so many bits of their number. */
    private static final int COUNTER_BITS = 20;

    private final DelegationContext context;
    private final StateReplica replica;
    private final String name;
    private final RandomGenerator random;
    private long readAt = -1;
    private Optional<FederationRecords.OwnCell> read = Optional.empty();
    private long countedIncarnation;
    private long counter;

    CellIdentityKeeper(DelegationContext context, String name, RandomGenerator random) {
        this.context = context;
        this.replica = context.replica();
        this.name = name;
        this.random = random;
    }

    /** Whether all controllers of this cell understand what the federation stores. */
    boolean formatReady() {
        return replica.isLoaded() && replica.formatVersion() >= FormatVersion.DELEGATION_LINKS;
    }

    /** This cell as stored; empty before it first took part. */
    Optional<CellId> id() {
        return stored().map(FederationRecords.OwnCell::id);
    }

    private Optional<FederationRecords.OwnCell> stored() {
        long stamp = replica.modRevision(Keys.FEDERATION);
        if (stamp != readAt) {
            readAt = stamp;
            read = replica.value(Keys.FEDERATION).flatMap(value -> {
                try {
                    return Optional.of(FederationRecords.readOwn(value));
                } catch (MalformedMessageException e) {
                    LOG.error(
                            "the record {} cannot be read: {}; this cell takes no part",
                            Keys.FEDERATION,
                            e.getMessage());
                    return Optional.empty();
                }
            });
        }
        return read;
    }

    /** Whether this controller leads, and its incarnation is stored: only then may it give jobs away. */
    boolean mayGiveAway() {
        return formatReady()
                && context.membership().isLeader()
                && stored().filter(cell -> cell.leaderStamp() == replica.modRevision(Keys.LEADER))
                        .isPresent()
                && replica.appliedRevision() >= replica.modRevision(Keys.FEDERATION);
    }

    /** The leader's part: stores an incarnation of its own. */
    void tick() {
        boolean due = formatReady() && context.membership().isLeader() && !mayGiveAway();
        boolean readable =
                stored().isPresent() || replica.value(Keys.FEDERATION).isEmpty();
        boolean written = stored().filter(cell -> cell.leaderStamp() == replica.modRevision(Keys.LEADER))
                .isPresent();
        if (due && readable && !written && !context.commitQueue().isLocked(Keys.FEDERATION)) {
            raise();
        }
    }

    private void raise() {
        String identity = id().map(CellId::identity).orElseGet(this::draw);
        long incarnation = id().map(CellId::incarnation).orElse(0L) + 1;
        var next = new FederationRecords.OwnCell(
                new CellId(name, identity, incarnation, draw()), replica.modRevision(Keys.LEADER));
        Transaction transaction = guarded(new Transaction()).write(Keys.FEDERATION, FederationRecords.write(next));
        context.commitQueue().propose(CommitPriority.PLACEMENT, transaction, result -> {
            if (result instanceof TransactionResult.Applied) {
                context.eventRecorder().record(LOG, "cell {} is in incarnation {}", name, incarnation);
            }
        });
    }

    /** Guards a change by the leadership and the incarnation under which it was decided. */
    Transaction guarded(Transaction transaction) {
        return transaction
                .requireRevision(Keys.FEDERATION, replica.modRevision(Keys.FEDERATION))
                .requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT));
    }

    private String draw() {
        return Long.toHexString(random.nextLong());
    }

    /** A number for the next transfer; empty if this incarnation has used all of its own. */
    OptionalLong nextTransfer() {
        long number = unusedTransfer();
        if (counter >= 1L << COUNTER_BITS) {
            return OptionalLong.empty();
        }
        counter++;
        return OptionalLong.of(number);
    }

    /** The lowest number that has not been used. */
    long unusedTransfer() {
        long incarnation = id().orElseThrow().incarnation();
        if (incarnation != countedIncarnation) {
            countedIncarnation = incarnation;
            counter = 0;
        }
        return (incarnation << COUNTER_BITS) + counter;
    }
}
