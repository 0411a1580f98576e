package org.dunespindle.control;

import java.util.ArrayList;
import java.util.List;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the stored format version. The leader does so once every configured controller is a live member that announces the newer
 * version. Preconditions on all member records ensure that no controller is replaced by an older program at the same time.
 */
public final class FormatUpgrade {
    private static final Logger LOG = LoggerFactory.getLogger(FormatUpgrade.class);
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final EventRecorder eventRecorder;
    private final FormatSupport formats;
    private final List<String> controllers = new ArrayList<>();

    /** Creates the upgrade for a program that announces and reads the given versions. */
    public FormatUpgrade(ControllerContext context, CommitQueue commitQueue, FormatSupport formats) {
        this.formats = formats;
        this.replica = context.replica();
        this.membership = context.membership();
        this.eventRecorder = context.eventRecorder();
        this.commitQueue = commitQueue;
        controllers.add(context.settings().nodeName());
        context.settings().seeds().forEach(seed -> controllers.add(seed.name()));
    }

    /** The newest format version that this program reads. */
    public int newestReadableVersion() {
        return formats.readable();
    }

    /** Whether the stored format is newer than this program reads. */
    public boolean isStoredFormatTooNew() {
        return replica.formatVersion() > formats.readable();
    }

    /** Raises the stored version if all controllers announce a newer one; called periodically on the leader. */
    public void tick() {
        int announced = formats.announced();
        boolean isRaised = replica.formatVersion() >= announced;
        if (isRaised || commitQueue.isLocked(Keys.FORMAT) || !isAnnouncedByAll()) {
            return;
        }
        eventRecorder.record(LOG, "all controllers read format version {}; it is used from now on", announced);
        commitQueue.propose(CommitPriority.PLACEMENT, upgradeTo(announced), result -> {
            if (!(result instanceof TransactionResult.Applied)) {
                LOG.debug("format upgrade not applied, retrying version={} result={}", announced, result);
            }
        });
    }

    private Transaction upgradeTo(int version) {
        var transaction = new Transaction();
        requireUnchanged(transaction, Keys.FORMAT);
        requireUnchanged(transaction, Keys.LEADER);
        controllers.forEach(name -> requireUnchanged(transaction, Keys.member(name)));
        return transaction.write(Keys.FORMAT, FormatVersion.record(version));
    }

    private void requireUnchanged(Transaction transaction, String key) {
        transaction.requireRevision(key, replica.modRevision(key));
    }

    private boolean isAnnouncedByAll() {
        return controllers.stream().allMatch(name -> membership.formatVersionOf(name) >= formats.announced());
    }
}
