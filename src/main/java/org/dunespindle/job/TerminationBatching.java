package org.dunespindle.job;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.Membership;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.TeamUsage;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;

/**
 * Decides how long the terminations of a job's tasks are collected before they are stored. A write of a record costs the same regardless of the
 * number of terminations in it. Terminations that end a job are stored at once, those that requeue tasks after a short delay.
 */
final class TerminationBatching {
    /** Delay while more of the job's tasks are unplaced or run here; the next placement usually stores the terminations earlier. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(15);
    /** Delay once no more of the job's tasks run here, because other controllers may be waiting to store the termination of its last task. */
    private static final Duration MAX_DELAY_OF_LAST_TASKS = Duration.ofMillis(400);
    /** Delay while the team is near its quota, since tasks count against it until their termination is stored. */
    private static final Duration MAX_DELAY_NEAR_QUOTA = Duration.ofMillis(1500);

    private static final Duration QUOTA_CHECK_INTERVAL = Duration.ofSeconds(1);
    /** The fraction of its quota above which a team is near it. */
    private static final double NEAR_QUOTA = 0.75;

    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final TimeSource timeSource;
    private final Set<String> teamsNearQuota = new HashSet<>();
    private Duration nextQuotaCheckAt = Duration.ZERO;

    TerminationBatching(ControllerContext context) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeSource = context.timeSource();
    }

    /** Updates the set of teams near their quota, at most once per interval. */
    void checkQuotas() {
        if (timeSource.now().compareTo(nextQuotaCheckAt) < 0) {
            return;
        }
        nextQuotaCheckAt = timeSource.now().plus(QUOTA_CHECK_INTERVAL);
        teamsNearQuota.clear();
        TeamUsage.stored(replica).forEach((name, usage) -> {
            Settings.Team team = settings.teams().get(name);
            if (team != null && isNearQuota(team, usage)) {
                teamsNearQuota.add(name);
            }
        });
    }

    private static boolean isNearQuota(Settings.Team team, Resources usage) {
        return usage.gpus() > NEAR_QUOTA * team.gpusMax() || usage.cpus() > NEAR_QUOTA * team.cpusMax();
    }

    /** Whether a job's pending terminations must be stored now. */
    boolean isDue(JobRecord job, List<PendingTermination> pending) {
        boolean urgent =
                job.spec().isEmpty() || !job.isOpen() || job.submission().requiresAllTasks();
        if (urgent || anyToRequeue(pending)) {
            return true;
        }
        boolean allPlaced = job.unplacedCount() == 0;
        if (allPlaced && job.allocations().size() <= pending.size()) {
            return true;
        }
        boolean noneLeftHere = allPlaced && allocationsHere(job) <= pending.size();
        Duration maxDelay = maxDelay(job, noneLeftHere);
        return pending.stream().anyMatch(termination -> age(termination).compareTo(maxDelay) >= 0);
    }

    private boolean anyToRequeue(List<PendingTermination> pending) {
        return pending.stream()
                .anyMatch(termination -> termination.termination().cause() != TerminationCause.DONE
                        && age(termination).compareTo(MAX_DELAY_OF_LAST_TASKS) >= 0);
    }

    private Duration age(PendingTermination termination) {
        return timeSource.now().minus(termination.since());
    }

    private long allocationsHere(JobRecord job) {
        return job.allocations().stream()
                .filter(allocation -> Optional.ofNullable(replica.machines().get(allocation.machineId()))
                        .filter(membership::owns)
                        .isPresent())
                .count();
    }

    private Duration maxDelay(JobRecord job, boolean noneLeftHere) {
        if (noneLeftHere) {
            return MAX_DELAY_OF_LAST_TASKS;
        }
        return teamsNearQuota.contains(job.submission().team()) ? MAX_DELAY_NEAR_QUOTA : MAX_DELAY;
    }
}
