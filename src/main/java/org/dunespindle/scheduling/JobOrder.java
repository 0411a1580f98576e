package org.dunespindle.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.time.Durations;

/** The order in which jobs are planned. */
final class JobOrder {
    /** An array that has waited so long without any task begun goes first of its priority. */
    private static final Duration BEGIN_WITHIN = Duration.ofSeconds(120);
    /** The tier of jobs that miss every time they are measured by. */
    private static final int LOST_CAUSE = 1000;
    /** Estimates are often too high by so much: a job is not a lost cause while this part of its estimate fits. */
    private static final double BEST_CASE = 0.7;

    private final ClusterSnapshot snapshot;
    private final Set<String> guaranteed;
    private final Map<String, Rank> ranks = new HashMap<>();

    /** Where a job stands among those of its priority: tier, then the lesser key. */
    private record Rank(int tier, long key) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            return tier != other.tier ? Integer.compare(tier, other.tier) : Long.compare(key, other.key);
        }
    }

    JobOrder(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
        this.guaranteed = Planner.guaranteed(snapshot.jobs(), snapshot.teams());
    }

    /** The jobs that are planned here, in their order. */
    List<JobRecord> jobs() {
        var ordered = new ArrayList<JobRecord>();
        for (JobRecord job : snapshot.jobs()) {
            if (job.isOpen() && job.unplacedCount() > 0 && plannedHere(job)) {
                ordered.add(job);
                ranks.put(job.id(), rank(job));
            }
        }
        // The oldest unfinished jobs are what counts as guaranteed first; those that are late anyway must not push
        // others past their time too.
        ordered.sort(Comparator.comparing((JobRecord job) -> job.submission().priority(), Comparator.reverseOrder())
                .thenComparing(job -> job.inboundDelegation().isPresent()) // the cell's own work first, among equals
                .thenComparing(job -> ranks.get(job.id()).tier() == LOST_CAUSE)
                .thenComparing(job -> !guaranteed.contains(job.id()))
                .thenComparing(job -> ranks.get(job.id()))
                .thenComparing(JobRecord::id));
        return ordered;
    }

    private boolean plannedHere(JobRecord job) {
        return snapshot.gangs()
                || !job.submission().isGang() && !snapshot.leftAlone().contains(job.id());
    }

    /** Whether two ordered jobs are alike but for the work that is left. */
    boolean equalStanding(JobRecord one, JobRecord other) {
        return one.submission().isGang() == other.submission().isGang()
                && one.submission().priority() == other.submission().priority()
                && one.inboundDelegation().isPresent()
                        == other.inboundDelegation().isPresent()
                && guaranteed.contains(one.id()) == guaranteed.contains(other.id())
                && ranks.get(one.id()).tier() == ranks.get(other.id()).tier();
    }

    /**
     * Gangs go in the order they came. Arrays that can still meet the first time they are measured by go least work first,
     * so that most of them meet it when not all can; then those that can meet a later one, then lost causes. One that
     * has waited long without any task begun goes first: the largest must begin too.
     */
    private Rank rank(JobRecord record) {
        Submission job = record.submission();
        if (job.isGang() || neverBegun(record)) {
            return new Rank(0, record.arrived().toEpochMilli());
        }
        List<Duration> ends = snapshot.objectives().all(job);
        Duration bestCase = Duration.ofMillis((long) (job.estimate().toMillis() * BEST_CASE));
        long work = Durations.times(job.estimate(), record.unplacedCount()).toMillis();
        int tier = 1;
        for (Duration end : ends) {
            if (!snapshot.now().plus(bestCase).isAfter(record.arrived().plus(end))) {
                return new Rank(tier, work);
            }
            tier++;
        }
        return ends.isEmpty()
                ? new Rank(1, work)
                : new Rank(LOST_CAUSE, record.arrived().toEpochMilli());
    }

    private boolean neverBegun(JobRecord job) {
        boolean untouched = job.allocations().isEmpty() && job.nextTaskIndex() == 0;
        return untouched && Duration.between(job.arrived(), snapshot.now()).compareTo(BEGIN_WITHIN) > 0;
    }
}
