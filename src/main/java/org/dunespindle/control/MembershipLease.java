package org.dunespindle.control;

import java.time.Duration;
import java.util.OptionalLong;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this process as a member: reserves an incarnation number that no earlier process of the same name had, opens a lease,
 * writes the member record under it, and renews the lease until it is lost or released.
 */
final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);
    private static final Duration LEASE_TTL = Duration.ofMillis(4500);
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1300);
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);
    private final String node;
    private final int announcedFormat;
    private final StateStoreClient stateStore;
    private final StateReplica replica;
    private final TimeSource timeSource;
    private long incarnation;
    private OptionalLong leaseId = OptionalLong.empty();
    private boolean acquiring;

    MembershipLease(
            String node,
            int announcedFormat,
            StateStoreClient stateStore,
            StateReplica replica,
            TimeSource timeSource) {
        this.node = node;
        this.announcedFormat = announcedFormat;
        this.stateStore = stateStore;
        this.replica = replica;
        this.timeSource = timeSource;
    }

    /** This process's incarnation number; 0 until it is stored. */
    long incarnation() {
        return incarnation;
    }

    /** The lease of the member record; empty before the record is written and after the lease is lost or released. */
    OptionalLong leaseId() {
        return leaseId;
    }

    /** Registers this process unless it is registered or a registration is in progress. */
    void acquireIfNeeded() {
        if (acquiring || (incarnation > 0 && leaseId.isPresent())) {
            return;
        }
        acquiring = true;
        if (incarnation == 0) {
            reserveIncarnation();
        } else {
            openLease();
        }
    }

    /** Ends the lease, which deletes every key written under it. If the request fails, the lease expires by itself. */
    void release() {
        leaseId.ifPresent(stateStore::revokeLease);
        leaseId = OptionalLong.empty();
    }

    private void reserveIncarnation() {
        String key = Keys.INCARNATION + node;
        IncarnationRecord next = IncarnationRecord.parse(replica.value(key)).next();
        var transaction =
                new Transaction().requireRevision(key, replica.modRevision(key)).write(key, next.toNode());
        stateStore.commit(transaction).thenAccept(result -> {
            if (result instanceof TransactionResult.Applied applied) {
                replica.applyCommitted(transaction, applied.revision());
                incarnation = next.incarnation();
                openLease();
            } else {
                // A transaction of unknown outcome may have stored this number: the retry reads the record again.
                refreshAndRetry();
            }
        });
    }

    private void openLease() {
        stateStore.grantLease(LEASE_TTL).whenComplete((opened, failure) -> {
            if (failure != null || opened.isEmpty()) {
                LOG.debug("membership lease not opened, retrying node={} reason={}", node, String.valueOf(failure));
                retryLater();
            } else {
                writeMember(opened.getAsLong());
            }
        });
    }

    private void writeMember(long openedLease) {
        String key = Keys.member(node);
        var transaction = new Transaction()
                .writeWithLease(key, new MemberRecord(incarnation, announcedFormat).toNode(), openedLease)
                .requireRevision(key, replica.modRevision(key));
        stateStore.commit(transaction).thenAccept(result -> {
            if (result instanceof TransactionResult.Applied applied) {
                replica.applyCommitted(transaction, applied.revision());
                leaseId = OptionalLong.of(openedLease);
                acquiring = false;
                LOG.info("membership acquired node={} incarnation={}", node, incarnation);
                scheduleRenewal(openedLease);
            } else {
                refreshAndRetry();
            }
        });
    }

    private void refreshAndRetry() {
        replica.refresh(this::retryLater, this::retryLater);
    }

    private void retryLater() {
        timeSource.schedule(RETRY_DELAY, () -> acquiring = false);
    }

    private void scheduleRenewal(long renewedLease) {
        timeSource.schedule(RENEWAL_INTERVAL, () -> renew(renewedLease));
    }

    private void renew(long renewedLease) {
        if (!isHeld(renewedLease)) {
            return;
        }
        stateStore.renewLease(renewedLease).whenComplete((alive, failure) -> {
            if (failure != null) {
                LOG.debug("membership lease renewal failed, retrying node={} reason={}", node, failure.toString());
                timeSource.schedule(RETRY_DELAY, () -> renew(renewedLease));
            } else if (alive) {
                scheduleRenewal(renewedLease);
            } else if (isHeld(renewedLease)) {
                LOG.info("membership lease lost, rejoining node={} incarnation={}", node, incarnation);
                leaseId = OptionalLong.empty();
            }
        });
    }

    private boolean isHeld(long id) {
        return leaseId.isPresent() && leaseId.getAsLong() == id;
    }
}
