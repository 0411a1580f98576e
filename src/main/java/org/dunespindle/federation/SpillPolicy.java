package org.dunespindle.federation;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.OutboundDelegation;

/** Chooses which waiting jobs are offered to which cells. A pure function. */
public final class SpillPolicy {
    /** An array may be offered to a cell with capacity for this fraction of its tasks (one in four). */
    private static final int ARRAY_START_DIVISOR = 4;

    private SpillPolicy() {}

    /**
     * A cell that jobs may be offered to.
     *
     * @param hints the cell's capacity hints
     * @param recentlyDeclined whether the cell recently declined work of a kind
     */
    public record Target(String cell, List<CapacityHint> hints, Predicate<ResourceKind> recentlyDeclined) {}

    /** A job and the cell that it is offered to. */
    public record Choice(JobRecord job, String cell) {}

    /**
     * The input of the choice.
     *
     * @param waiting jobs that this cell could not place for the delegation delay
     * @param acceptedKinds the kinds of work that this cell accepts from others, and so does not delegate
     * @param maxTransfers how often a job may be delegated in all
     * @param maxOffers the maximum number of offers to make now
     */
    public record View(
            Instant now,
            List<JobRecord> waiting,
            List<Target> targets,
            List<ResourceKind> acceptedKinds,
            int maxTransfers,
            int maxOffers) {}

    /** Whether a job may be delegated, which is only possible as a whole: it must be this cell's own, and no task of it ever placed. */
    public static boolean isDelegable(JobRecord job) {
        return job.isOpen()
                && !job.submission().isService()
                && job.neverPlaced()
                && job.inboundDelegation().isEmpty()
                && !job.isDelegatedAway();
    }

    /** Whether a job may be delegated now, given the number of its earlier transfers and their back-off. */
    public static boolean mayDelegateNow(JobRecord job, Instant now, int maxTransfers) {
        Optional<OutboundDelegation> previous = job.outboundDelegation();
        return previous.isEmpty()
                || (previous.get().transfers() < maxTransfers
                        && previous.get()
                                .notBefore()
                                .filter(time -> time.isAfter(now))
                                .isEmpty());
    }

    /** Chooses jobs in descending order of priority, and for each the cell whose hints show the largest capacity for it. */
    public static List<Choice> choose(View view) {
        var choices = new ArrayList<Choice>();
        var tasksByTarget = new HashMap<String, Integer>();
        List<JobRecord> byPriority = view.waiting.stream()
                .filter(job -> isDelegable(job) && mayDelegateNow(job, view.now, view.maxTransfers))
                .sorted(Comparator.comparing((JobRecord job) -> job.submission().priority(), Comparator.reverseOrder())
                        .thenComparing(JobRecord::arrived)
                        .thenComparing(JobRecord::id))
                .toList();
        for (JobRecord job : byPriority) {
            ResourceKind kind = ResourceKind.of(job.submission());
            if (choices.size() < view.maxOffers && view.acceptedKinds.stream().noneMatch(kind::overlaps)) {
                bestTarget(job, kind, view.targets, tasksByTarget).ifPresent(cell -> {
                    tasksByTarget.merge(cell, job.submission().tasks(), Integer::sum);
                    choices.add(new Choice(job, cell));
                });
            }
        }
        return choices;
    }

    private static Optional<String> bestTarget(
            JobRecord job, ResourceKind kind, List<Target> targets, Map<String, Integer> tasksByTarget) {
        Submission submission = job.submission();
        int required = submission.isGang() ? submission.tasks() : Math.max(1, submission.tasks() / ARRAY_START_DIVISOR);
        String best = null;
        int bestRank = 0;
        for (Target target : targets) {
            int taskCapacity = taskCapacity(submission, target.hints) - tasksByTarget.getOrDefault(target.cell, 0);
            boolean returnedBefore = job.outboundDelegation()
                    .filter(last -> last.cell().equals(target.cell))
                    .isPresent();
            int rank = returnedBefore ? 1 : 1 + taskCapacity; // a cell that returned the job is the last resort
            if (taskCapacity >= required && !target.recentlyDeclined.test(kind) && rank > bestRank) {
                best = target.cell;
                bestRank = rank;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int taskCapacity(Submission job, List<CapacityHint> hints) {
        var byZone = new TreeMap<String, Integer>();
        for (CapacityHint hint : hints) {
            if (hint.appliesTo(job)) {
                byZone.merge(hint.zone(), hint.taskCapacity(job), Integer::sum);
            }
        }
        return job.sameZone()
                ? byZone.values().stream().mapToInt(tasks -> tasks).max().orElse(0)
                : byZone.values().stream().mapToInt(tasks -> tasks).sum();
    }
}
