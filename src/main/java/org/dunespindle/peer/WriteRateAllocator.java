package org.dunespindle.peer;

import java.time.Duration;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.Membership;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.time.TimeSource;

/**
 * Divides the state service's write rate among the controllers by need, as they tell one another: the leader writes
 * most, and an equal part each would leave it short while the others' lie idle. Only a matter of pace: what
 * is written too fast is refused and sent again.
 */
public final class WriteRateAllocator {
    /** Controllers hear of one another's need late, so some of the rate is left unused. */
    private static final double SAFE_PART = 0.92;

    private static final double LEAST_PART = 0.08;
    private final Settings settings;
    private final PeerHeartbeats peers;
    private final Membership membership;
    private final CommitQueue committer;
    private final StateStoreClient state;
    private final TimeSource timeline;
    private long writtenBefore;
    private Duration at = Duration.ZERO;
    private double rate;

    public WriteRateAllocator(
            Settings settings,
            PeerHeartbeats peers,
            Membership membership,
            CommitQueue committer,
            StateStoreClient state,
            TimeSource timeline) {
        this.settings = settings;
        this.peers = peers;
        this.membership = membership;
        this.committer = committer;
        this.state = state;
        this.timeline = timeline;
    }

    public WriteDemand need() {
        return new WriteDemand(rate, committer.waiting());
    }

    /** What a controller would write if it could: what it does, and some of what waits. */
    private static double want(double writes, int waiting) {
        return Math.max(1, writes + waiting / 2.0);
    }

    /** Called about once a second. */
    public void adjust() {
        Duration now = timeline.now();
        double seconds = now.minus(at).toNanos() / 1e9;
        if (seconds > 0.1) {
            rate = 0.5 * rate + 0.5 * (committer.committed() - writtenBefore) / seconds;
            writtenBefore = committer.committed();
            at = now;
        }
        double all = SAFE_PART * settings.state().lowest().writeRps();
        double least = all * LEAST_PART;
        double left = all;
        double own = want(rate, committer.waiting());
        double wanted = own;
        for (Settings.Seed seed : settings.seeds()) {
            var heartbeat = peers.heartbeat(seed.name());
            if (heartbeat.isPresent()) {
                wanted += want(heartbeat.get().writes(), heartbeat.get().waiting());
            } else if (membership.incarnationOf(seed.name()).isPresent()) {
                left -= all / (settings.seeds().size() + 1); // alive but not heard: it takes its equal part
            } else {
                left -= least;
            }
        }
        state.writes().rate(Math.max(least, left * own / wanted));
    }
}
