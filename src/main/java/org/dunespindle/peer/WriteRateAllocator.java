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
    private final PeerHeartbeats peerHeartbeats;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final StateStoreClient stateStore;
    private final TimeSource timeSource;
    private long writtenBefore;
    private Duration at = Duration.ZERO;
    private double rate;

    public WriteRateAllocator(
            Settings settings,
            PeerHeartbeats peerHeartbeats,
            Membership membership,
            CommitQueue commitQueue,
            StateStoreClient stateStore,
            TimeSource timeSource) {
        this.settings = settings;
        this.peerHeartbeats = peerHeartbeats;
        this.membership = membership;
        this.commitQueue = commitQueue;
        this.stateStore = stateStore;
        this.timeSource = timeSource;
    }

    public WriteDemand need() {
        return new WriteDemand(rate, commitQueue.waiting());
    }

    /** What a controller would write if it could: what it does, and some of what waits. */
    private static double want(double writes, int waiting) {
        return Math.max(1, writes + waiting / 2.0);
    }

    /** Called about once a second. */
    public void adjust() {
        Duration now = timeSource.now();
        double seconds = now.minus(at).toNanos() / 1e9;
        if (seconds > 0.1) {
            rate = 0.5 * rate + 0.5 * (commitQueue.committed() - writtenBefore) / seconds;
            writtenBefore = commitQueue.committed();
            at = now;
        }
        double all = SAFE_PART * settings.state().lowest().writeRps();
        double least = all * LEAST_PART;
        double left = all;
        double own = want(rate, commitQueue.waiting());
        double wanted = own;
        for (Settings.Seed seed : settings.seeds()) {
            var heartbeat = peerHeartbeats.heartbeat(seed.name());
            if (heartbeat.isPresent()) {
                wanted += want(heartbeat.get().writes(), heartbeat.get().waiting());
            } else if (membership.incarnationOf(seed.name()).isPresent()) {
                left -= all / (settings.seeds().size() + 1); // alive but not heard: it takes its equal part
            } else {
                left -= least;
            }
        }
        stateStore.writes().rate(Math.max(least, left * own / wanted));
    }
}
