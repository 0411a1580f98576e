package org.dunespindle.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;

/**
 * The cancellations known to this controller, and the staleness of that knowledge.
 *
 * <p>The replica contains every cancellation stored before its last read was requested. While the state service cannot be read, the
 * other controllers are asked: each answers with the cancelled jobs in its replica that the requester's replica may lack. A controller
 * confirms a cancellation to a user only once its own replica contains it, so its answer is complete up to the time of the request. A
 * restarted controller answers only after its replica is loaded, and every cancellation that its predecessor confirmed was stored
 * before. The staleness is therefore that of the <em>oldest</em> of the last answers of all other controllers, each counted from its
 * request. A controller that does not answer may have confirmed cancellations since, so the staleness then grows even if all the
 * others answer.
 */
public final class CancellationTracker {
    private final StateReplica replica;
    private final TimeSource timeSource;
    private final List<String> otherControllers;
    /** The time of the last request that each controller has answered. */
    private final Map<String, Duration> answeredRequestAt = new HashMap<>();
    /** Jobs that other controllers reported as cancelled, with the time of the report; they may still be open in the replica. */
    private final Map<String, Duration> cancelledElsewhere = new HashMap<>();

    /** Creates a tracker without answers from other controllers: it knows the cancellations in the replica. */
    public CancellationTracker(Settings settings, StateReplica replica, TimeSource timeSource) {
        this.replica = replica;
        this.timeSource = timeSource;
        this.otherControllers =
                settings.seeds().stream().map(Settings.Seed::name).toList();
    }

    /**
     * Records another controller's complete answer.
     *
     * @param requestedAt when the request was sent: the answer may lack later cancellations
     * @return the jobs that this controller did not know to be cancelled
     */
    public List<String> recordAnswer(String controller, Duration requestedAt, List<String> cancelledJobs) {
        answeredRequestAt.merge(controller, requestedAt, CancellationTracker::longer);
        var newlyCancelled = new ArrayList<String>();
        for (String jobId : cancelledJobs) {
            // A job that the replica lacks is recorded too, although this controller has started none of its tasks.
            if (!isClosed(jobId) && cancelledElsewhere.putIfAbsent(jobId, timeSource.now()) == null) {
                newlyCancelled.add(jobId);
            }
        }
        return newlyCancelled;
    }

    /** Every cancellation that was confirmed to a user longer ago than this is known here. */
    Duration staleness() {
        Duration replicaStaleness = replica.staleness();
        return replica.isLoaded() ? shorter(replicaStaleness, answerStaleness(replicaStaleness)) : replicaStaleness;
    }

    private Duration answerStaleness(Duration replicaStaleness) {
        Duration now = timeSource.now();
        Duration oldest = Duration.ZERO;
        for (String controller : otherControllers) {
            Duration requestedAt = answeredRequestAt.get(controller);
            oldest = longer(oldest, requestedAt == null ? replicaStaleness : now.minus(requestedAt));
        }
        return oldest;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** Whether a job is known to be cancelled, from the replica or from other controllers. */
    boolean isCancelled(JobRecord job) {
        return job.outcome() == JobRecord.Outcome.CANCELLED || isCancelledElsewhere(job);
    }

    private boolean isCancelledElsewhere(JobRecord job) {
        return job.isOpen() && cancelledElsewhere.containsKey(job.id());
    }

    /** A machine's allocations, with the cancellations reported by other controllers applied. */
    List<PlacedTask> withCancellations(List<PlacedTask> allocations) {
        if (cancelledElsewhere.isEmpty()) {
            return allocations;
        }
        return allocations.stream()
                .map(placed -> isCancelledElsewhere(placed.job())
                        ? new PlacedTask(placed.job().cancelled(), placed.allocation())
                        : placed)
                .toList();
    }

    /**
     * Removes the cancellations that the replica contains: those of jobs known to have ended, and all that were stored, and therefore
     * reported, before its last read began. The record of such a job may no longer be in memory.
     */
    public void prune() {
        cancelledElsewhere
                .entrySet()
                .removeIf(entry -> isClosed(entry.getKey()) || isContainedInReplica(entry.getValue()));
    }

    private boolean isContainedInReplica(Duration reportedAt) {
        return replica.isLoaded() && reportedAt.compareTo(replica.asOf()) < 0;
    }

    private boolean isClosed(String jobId) {
        return replica.retainedJob(jobId).filter(job -> !job.isOpen()).isPresent();
    }
}
