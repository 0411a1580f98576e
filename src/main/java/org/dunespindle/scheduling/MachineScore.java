package org.dunespindle.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;

/**
 * Scores how well a machine suits a task, for best-fit bin packing. Preferred in this order: running over booting machines, machines that have
 * the image, cheaper (spot) machines, machines with fewer image fetches, fuller machines.
 */
final class MachineScore {
    private static final double UP_SCORE = 8;
    private static final double IMAGE_SCORE = 3;
    private static final double SPOT_SCORE = 2;
    /** Score of a machine that is already fetching the image. */
    private static final double PENDING_FETCH_SCORE = 1;
    /** Penalty for each fetch of another image, because concurrent fetches share the machine's transfer rate. */
    private static final double OTHER_FETCH_PENALTY = 1.5;

    private static final int MAX_OTHER_FETCHES_COUNTED = 2;
    /** Avoids a division by zero for machines without processors. */
    private static final double MIN_CPUS = 1e-9;

    private MachineScore() {}

    /** The score of a machine for a task of a job; higher is better. */
    static double of(Submission job, MachineCapacity machine) {
        MachineSnapshot snapshot = machine.snapshot();
        double up = snapshot.up() ? UP_SCORE : 0;
        double spot = snapshot.spot() && job.spot() ? SPOT_SCORE : 0;
        return up + spot + imageScore(job.image(), machine) + allocatedFraction(machine);
    }

    /** The matching machine with the highest score; the first one among equals. */
    static Optional<MachineCapacity> best(
            List<MachineCapacity> candidates,
            Predicate<MachineCapacity> matches,
            ToDoubleFunction<MachineCapacity> score) {
        MachineCapacity best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (MachineCapacity machine : candidates) {
            if (matches.test(machine)) {
                double candidateScore = score.applyAsDouble(machine);
                if (candidateScore > bestScore) {
                    best = machine;
                    bestScore = candidateScore;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static double allocatedFraction(MachineCapacity machine) {
        Resources size = machine.snapshot().capacity();
        return size.gpus() > 0
                ? 1 - machine.free().gpus() / size.gpus()
                : 1 - machine.free().cpus() / Math.max(MIN_CPUS, size.cpus());
    }

    private static double imageScore(String image, MachineCapacity machine) {
        if (machine.hasImage(image)) {
            return IMAGE_SCORE;
        }
        Set<String> fetches = machine.pendingFetches();
        boolean pending = fetches.contains(image);
        int others = fetches.size() - (pending ? 1 : 0);
        double penalty = OTHER_FETCH_PENALTY * Math.min(MAX_OTHER_FETCHES_COUNTED, others);
        return (pending ? PENDING_FETCH_SCORE : 0) - penalty;
    }
}
