package org.dunespindle.peer;

import java.time.Duration;
import java.util.Optional;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.Membership;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.time.TimeSource;

/**
 * Divides the state service's write rate among the controllers in proportion to the demand in their heartbeats. The leader writes
 * most: with equal shares it would run short while the shares of the others stayed unused. The shares only pace the writes: the service
 * rejects writes above its rate limit, and they are sent again.
 */
public final class WriteRateAllocator {
    /** Part of the rate stays unallocated, because controllers receive each other's demand with a delay. */
    private static final double ALLOCATED_FRACTION = 0.92;
    /** The minimum share of the allocated rate, reserved for each controller whether it is running or not. */
    private static final double MIN_SHARE_FRACTION = 0.08;
    /** A rate measured over a shorter time is not meaningful. */
    private static final double MIN_MEASUREMENT_SECONDS = 0.1;
    /** The weight of the latest measurement in the moving average. */
    private static final double LATEST_RATE_WEIGHT = 0.5;
    /** The number of pending proposals that add one write per second to the demand. */
    private static final double PENDING_PROPOSALS_PER_WRITE = 2.0;

    private static final double NANOS_PER_SECOND = 1e9;
    private final Settings settings;
    private final PeerHeartbeats peerHeartbeats;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final StateStoreClient stateStore;
    private final TimeSource timeSource;
    private long changesAtLastMeasurement;
    private Duration lastMeasurementAt = Duration.ZERO;
    private double writesPerSecond;

    /** Creates an allocator; this controller's share does not change before {@link #adjust}. */
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

    /** This controller's demand, to be sent to the other controllers. */
    public WriteDemand demand() {
        return new WriteDemand(writesPerSecond, commitQueue.pendingCount());
    }

    /** Measures this controller's writes and sets its share of the rate; called about once a second. */
    public void adjust() {
        measureWriteRate();
        double allocatable = ALLOCATED_FRACTION * settings.state().lowest().writeRps();
        double minShare = allocatable * MIN_SHARE_FRACTION;
        double equalShare = allocatable / (settings.seeds().size() + 1);
        double divisible = allocatable;
        double ownDemand = demandedRate(writesPerSecond, commitQueue.pendingCount());
        double totalDemand = ownDemand;
        for (Settings.Seed peer : settings.seeds()) {
            Optional<PeerState> heartbeat = peerHeartbeats.recentHeartbeat(peer.name());
            if (heartbeat.isPresent()) {
                totalDemand += demandedRate(
                        heartbeat.get().writesPerSecond(), heartbeat.get().pendingProposals());
            } else if (membership.incarnationOf(peer.name()).isPresent()) {
                divisible -= equalShare; // alive but unreachable, so it takes an equal share
            } else {
                divisible -= minShare;
            }
        }
        stateStore.writeLimiter().setRate(Math.max(minShare, divisible * ownDemand / totalDemand));
    }

    private void measureWriteRate() {
        Duration now = timeSource.now();
        double seconds = now.minus(lastMeasurementAt).toNanos() / NANOS_PER_SECOND;
        if (seconds <= MIN_MEASUREMENT_SECONDS) {
            return;
        }
        long changes = commitQueue.sentChangeCount();
        writesPerSecond = (1 - LATEST_RATE_WEIGHT) * writesPerSecond
                + LATEST_RATE_WEIGHT * (changes - changesAtLastMeasurement) / seconds;
        changesAtLastMeasurement = changes;
        lastMeasurementAt = now;
    }

    /** A controller's demand in writes per second: its current write rate and a fraction of its pending proposals. */
    private static double demandedRate(double writesPerSecond, int pendingProposals) {
        return Math.max(1, writesPerSecond + pendingProposals / PENDING_PROPOSALS_PER_WRITE);
    }
}
