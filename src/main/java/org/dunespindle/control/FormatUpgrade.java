package org.dunespindle.control;

import java.util.ArrayList;
import java.util.List;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.Replica;
import org.dunespindle.storage.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the stored format version. The leader does so once every configured controller is a member that announces the
 * newer version; the transaction is guarded by all their member records, so none can have come back older meanwhile.
 */
public final class FormatUpgrade {
    private static final Logger LOG = LoggerFactory.getLogger(FormatUpgrade.class);
    private final Replica replica;
    private final Membership membership;
    private final Committer committer;
    private final Decisions decisions;
    private final FormatSupport formats;
    private final List<String> controllers = new ArrayList<>();

    /** Creates the upgrade for a program that announces and understands the given versions. */
    public FormatUpgrade(ControllerContext context, Committer committer, FormatSupport formats) {
        this.formats = formats;
        this.replica = context.replica();
        this.membership = context.membership();
        this.decisions = context.decisions();
        this.committer = committer;
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
        if (raised || committer.isLocked(Keys.FORMAT) || !allAnnounce()) {
            return;
        }
        var txn =
                new Txn().guard(Keys.FORMAT, replica.stamp(Keys.FORMAT)).guard(Keys.LEADER, replica.stamp(Keys.LEADER));
        controllers.forEach(name -> txn.guard(Keys.member(name), replica.stamp(Keys.member(name))));
        txn.write(Keys.FORMAT, FormatVersion.record(announced));
        decisions.tell(LOG, "all controllers read format version {}; it is used from now on", announced);
        committer.propose(CommitPriority.PLACING, txn, r -> {});
    }

    private boolean allAnnounce() {
        return controllers.stream().allMatch(name -> membership.formatVersionOf(name) >= formats.announced());
    }
}
