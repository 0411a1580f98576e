package org.dunespindle.control;

import java.util.ArrayList;
import java.util.List;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the stored format version. The leader does so once every configured controller is a member that announces the
 * newer version; the transaction is guarded by all their member records, so none can have come back older meanwhile.
 */
public final class FormatUpgrade {
    private static final Logger LOG = LoggerFactory.getLogger(FormatUpgrade.class);
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final EventRecorder eventRecorder;
    private final FormatSupport formats;
    private final List<String> controllers = new ArrayList<>();

    /** Creates the upgrade for a program that announces and understands the given versions. */
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
    public int newest() {
        return formats.readable();
    }

    /** Whether what is stored is newer than this program understands. */
    public boolean tooNew() {
        return replica.formatVersion() > formats.readable();
    }

    /** The leader's part. */
    public void tick() {
        int announced = formats.announced();
        boolean raised = replica.formatVersion() >= announced;
        if (raised || commitQueue.isLocked(Keys.FORMAT) || !allAnnounce()) {
            return;
        }
        var transaction = new Transaction()
                .requireRevision(Keys.FORMAT, replica.modRevision(Keys.FORMAT))
                .requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER));
        controllers.forEach(
                name -> transaction.requireRevision(Keys.member(name), replica.modRevision(Keys.member(name))));
        transaction.write(Keys.FORMAT, FormatVersion.record(announced));
        eventRecorder.record(LOG, "all controllers read format version {}; it is used from now on", announced);
        commitQueue.propose(CommitPriority.PLACEMENT, transaction, result -> {});
    }

    private boolean allAnnounce() {
        return controllers.stream().allMatch(name -> membership.formatVersionOf(name) >= formats.announced());
    }
}
