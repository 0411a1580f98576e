package org.dunespindle.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;

/**
 * What this controller knows of cancellations, and how old that knowledge may be at most.
 *
 * <p>The copy of the store names every cancellation stored before its last reading was asked for. While it cannot be read, the
 * other controllers are asked: each answers with the cancelled jobs that it knows and the asker's copy may lack. A controller
 * tells a user only what its own copy holds, so one that has answered had confirmed nothing else when it was asked; one that
 * started again answers only from a copy that it has read whole, and what its predecessor confirmed had been stored before.
 * So what is known here is as old as the <em>oldest</em> of the last answers of all others, each counted from when it was
 * asked. One that does not answer may have confirmed anything since, so then age grows, whoever else answers.
 */
public final class CancellationTracker {
    private final StateReplica replica;
    private final TimeSource timeSource;
    private final List<String> others;
    /** When each other controller was last asked that has answered. */
    private final Map<String, Duration> askedAt = new HashMap<>();
    /** Jobs that others say are cancelled and that the copy here may still show as open. */
    private final Set<String> told = new HashSet<>();

    public CancellationTracker(Settings settings, StateReplica replica, TimeSource timeSource) {
        this.replica = replica;
        this.timeSource = timeSource;
        this.others = settings.seeds().stream().map(Settings.Seed::name).toList();
    }

    /**
     * Takes another controller's whole answer.
     *
     * @param asked when the question was sent: what it confirms later may be missing in the answer
     * @return the jobs that were not known here to be cancelled
     */
    public List<String> answered(String node, Duration asked, List<String> cancelled) {
        askedAt.merge(node, asked, (a, b) -> a.compareTo(b) > 0 ? a : b);
        var news = new ArrayList<String>();
        for (String id : cancelled) {
            // A job that the copy does not have yet has no task that was started from here.
            if (replica.job(id).filter(j -> !j.isOpen()).isEmpty() && told.add(id)) {
                news.add(id);
            }
        }
        return news;
    }

    /** A cancellation confirmed longer ago than this is known here. */
    Duration staleness() {
        Duration now = timeSource.now();
        Duration oldest = Duration.ZERO;
        for (String node : others) {
            Duration asked = askedAt.get(node);
            Duration since = asked == null ? replica.staleness() : now.minus(asked);
            oldest = since.compareTo(oldest) > 0 ? since : oldest;
        }
        Duration read = replica.staleness();
        return !replica.loaded() || read.compareTo(oldest) < 0 ? read : oldest;
    }

    /** Whether a job is known to be cancelled, by the copy or by what others told. */
    boolean cancelled(JobRecord job) {
        return job.outcome() == JobRecord.Outcome.CANCELLED || job.isOpen() && told.contains(job.id());
    }

    /** A machine's allocations as they stand with what others told: those of cancelled jobs are to end. */
    List<PlacedTask> marked(List<PlacedTask> allocations) {
        if (told.isEmpty()) {
            return allocations;
        }
        return allocations.stream()
                .map(placed ->
                        placed.job().isOpen() && told.contains(placed.job().id())
                                ? new PlacedTask(placed.job().cancelled(), placed.allocation())
                                : placed)
                .toList();
    }

    /** Forgets what the copy shows by itself. */
    public void prune() {
        told.removeIf(id -> replica.job(id).filter(job -> !job.isOpen()).isPresent());
    }
}
