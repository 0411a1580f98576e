package org.dunespindle.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.time.Durations;

/** Determines the order in which jobs are planned. */
final class JobOrder {
    /** A job that has waited longer without any task started is starving, and is planned first within its priority. */
    private static final Duration MAX_WAIT_BEFORE_FIRST_TASK = Duration.ofSeconds(120);

    private static final int TOP_TIER = 0;
    /** The tier of jobs that can meet their first objective, or have none; each later objective has the next tier. */
    private static final int FIRST_OBJECTIVE_TIER = 1;
    /** The tier of jobs that miss all their objectives. */
    private static final int MISSED_ALL_OBJECTIVES_TIER = 1000;
    /** Estimates are often too high, so a job counts as able to meet an objective if this fraction of its estimate fits. */
    private static final double BEST_CASE_ESTIMATE_FRACTION = 0.7;

    private final ClusterSnapshot snapshot;
    private final Set<String> guaranteed;
    private final Map<String, Rank> ranks = new HashMap<>();

    /** A job's rank within its priority: ordered by tier, then by key, the lowest first. */
    private record Rank(int tier, long key) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            return tier != other.tier ? Integer.compare(tier, other.tier) : Long.compare(key, other.key);
        }
    }

    JobOrder(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
        this.guaranteed = withinGuarantee(snapshot.jobs(), snapshot.teams());
    }

    /** The jobs that this controller plans, in planning order. */
    List<JobRecord> jobs() {
        var ordered = new ArrayList<JobRecord>();
        for (JobRecord job : snapshot.jobs()) {
            if (job.isOpen() && job.unplacedCount() > 0 && isPlannedHere(job)) {
                ordered.add(job);
                ranks.put(job.id(), rank(job));
            }
        }
        // Guarantees cover the oldest unfinished jobs first. Jobs that miss all their objectives come later, so that
        // they do not make other jobs miss theirs.
        ordered.sort(Comparator.comparing((JobRecord job) -> job.submission().priority(), Comparator.reverseOrder())
                .thenComparing(job -> job.inboundDelegation().isPresent()) // local jobs before inbound delegations
                .thenComparing(job -> ranks.get(job.id()).tier() == MISSED_ALL_OBJECTIVES_TIER)
                .thenComparing(job -> !guaranteed.contains(job.id()))
                .thenComparing(job -> ranks.get(job.id()))
                .thenComparing(JobRecord::id));
        return ordered;
    }

    private boolean isPlannedHere(JobRecord job) {
        return snapshot.plansGangs()
                || (!job.submission().isGang() && !snapshot.deferredJobs().contains(job.id()));
    }

    /** Whether two of the ordered jobs have the same rank apart from their remaining work. */
    boolean haveEqualRank(JobRecord one, JobRecord other) {
        return one.submission().isGang() == other.submission().isGang()
                && one.submission().priority() == other.submission().priority()
                && one.inboundDelegation().isPresent()
                        == other.inboundDelegation().isPresent()
                && guaranteed.contains(one.id()) == guaranteed.contains(other.id())
                && ranks.get(one.id()).tier() == ranks.get(other.id()).tier();
    }

    /**
     * Ranks gangs by arrival. Arrays that can still meet their first objective are ranked by least remaining work, so that as many as possible
     * meet it when not all can; then come those that can meet a later objective, then those that miss all. A starving job comes first, so that
     * the largest jobs also start.
     */
    private Rank rank(JobRecord job) {
        Submission submission = job.submission();
        if (submission.isGang() || isStarving(job)) {
            return new Rank(TOP_TIER, job.arrived().toEpochMilli());
        }
        List<Duration> objectives = snapshot.objectives().all(submission);
        Instant bestCaseEnd = snapshot.now().plus(bestCase(submission));
        long remainingWork =
                Durations.multiply(submission.estimate(), job.unplacedCount()).toMillis();
        int tier = FIRST_OBJECTIVE_TIER;
        for (Duration objective : objectives) {
            if (!bestCaseEnd.isAfter(job.arrived().plus(objective))) {
                return new Rank(tier, remainingWork);
            }
            tier++;
        }
        return objectives.isEmpty()
                ? new Rank(FIRST_OBJECTIVE_TIER, remainingWork)
                : new Rank(MISSED_ALL_OBJECTIVES_TIER, job.arrived().toEpochMilli());
    }

    private static Duration bestCase(Submission submission) {
        return Duration.ofMillis((long) (submission.estimate().toMillis() * BEST_CASE_ESTIMATE_FRACTION));
    }

    /** Ids of the jobs that fit within their team's guarantee together with the team's earlier unfinished jobs. */
    private static Set<String> withinGuarantee(List<JobRecord> jobs, Map<String, Settings.Team> teams) {
        var sums = new HashMap<String, Resources>();
        var within = new HashSet<String>();
        jobs.stream()
                .filter(JobRecord::isOpen)
                .sorted(Comparator.comparing(JobRecord::arrived).thenComparing(JobRecord::id))
                .forEach(job -> {
                    Submission submission = job.submission();
                    Resources sum = sums.merge(submission.team(), submission.totalResources(), Resources::plus);
                    Settings.Team team = teams.get(submission.team());
                    if (team != null && team.withinGuarantee(sum)) {
                        within.add(job.id());
                    }
                });
        return within;
    }

    private boolean isStarving(JobRecord job) {
        boolean neverPlaced = job.allocations().isEmpty() && job.nextTaskIndex() == 0;
        return neverPlaced && Duration.between(job.arrived(), snapshot.now()).compareTo(MAX_WAIT_BEFORE_FIRST_TASK) > 0;
    }
}
