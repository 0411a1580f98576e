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
    private static final int ARRAY_PART = 4;

    private SpillPolicy() {}

    /**
     * A cell that jobs may be offered to.
     *
     * @param room the cell's capacity hints
     * @param refuses whether the cell recently declined work of a kind
     */
    public record Target(String cell, List<CapacityHint> room, Predicate<ResourceKind> refuses) {}

    /** A job and the cell that it is offered to. */
    public record Choice(JobRecord job, String cell) {}

    /**
     * The input of the choice.
     *
     * @param waiting jobs that this cell could not place for the delegation delay
     * @param takesIn the kinds of work that this cell accepts from others, and so does not delegate
     * @param mostTransfers how often a job may be delegated in all
     * @param most the maximum number of offers to make now
     */
    public record View(
            Instant now,
            List<JobRecord> waiting,
            List<Target> targets,
            List<ResourceKind> takesIn,
            int mostTransfers,
            int most) {}

    /** Whether a job may be delegated at all: it belongs to this cell, and none of its tasks was ever placed. */
    public static boolean movable(JobRecord job) {
        return job.isOpen()
                && !job.submission().isService()
                && job.neverPlaced()
                && job.inboundDelegation().isEmpty()
                && !job.isDelegatedAway();
    }

    /** Whether a job may be delegated now, given the number of its earlier transfers and their back-off. */
    public static boolean due(JobRecord job, Instant now, int mostTransfers) {
        Optional<OutboundDelegation> before = job.outboundDelegation();
        return before.isEmpty()
                || (before.get().transfers() < mostTransfers
                        && before.get()
                                .notBefore()
                                .filter(time -> time.isAfter(now))
                                .isEmpty());
    }

    /** Chooses jobs in descending order of priority, and for each the cell whose hints show the largest capacity for it. */
    public static List<Choice> choose(View view) {
        var choices = new ArrayList<Choice>();
        var promised = new HashMap<String, Integer>();
        List<JobRecord> ordered = view.waiting.stream()
                .filter(job -> movable(job) && due(job, view.now, view.mostTransfers))
                .sorted(Comparator.comparing((JobRecord job) -> job.submission().priority(), Comparator.reverseOrder())
                        .thenComparing(JobRecord::arrived)
                        .thenComparing(JobRecord::id))
                .toList();
        for (JobRecord job : ordered) {
            ResourceKind kind = ResourceKind.of(job.submission());
            if (choices.size() < view.most && view.takesIn.stream().noneMatch(kind::overlaps)) {
                target(job, kind, view.targets, promised).ifPresent(cell -> {
                    promised.merge(cell, job.submission().tasks(), Integer::sum);
                    choices.add(new Choice(job, cell));
                });
            }
        }
        return choices;
    }

    private static Optional<String> target(
            JobRecord job, ResourceKind kind, List<Target> targets, Map<String, Integer> promised) {
        Submission asked = job.submission();
        int wanted = asked.isGang() ? asked.tasks() : Math.max(1, asked.tasks() / ARRAY_PART);
        String best = null;
        int bestRoom = 0;
        for (Target target : targets) {
            int room = room(asked, target.room) - promised.getOrDefault(target.cell, 0);
            boolean before = job.outboundDelegation()
                    .filter(last -> last.cell().equals(target.cell))
                    .isPresent();
            int rank = before ? 1 : 1 + room; // a cell that returned the job is the last resort
            if (room >= wanted && !target.refuses.test(kind) && rank > bestRoom) {
                best = target.cell;
                bestRoom = rank;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int room(Submission job, List<CapacityHint> hints) {
        var byZone = new TreeMap<String, Integer>();
        for (CapacityHint hint : hints) {
            if (hint.concerns(job)) {
                byZone.merge(hint.zone(), hint.tasks(job), Integer::sum);
            }
        }
        return job.sameZone()
                ? byZone.values().stream().mapToInt(tasks -> tasks).max().orElse(0)
                : byZone.values().stream().mapToInt(tasks -> tasks).sum();
    }
}
