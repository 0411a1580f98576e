package org.dunespindle.scheduling;

import it.unimi.dsi.fastutil.ints.IntIterator;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/** Places the tasks of job arrays. */
final class ArrayPlanner {
    private final PlanState state;
    private final ZoneChooser zoneChooser;
    /** Jobs with tasks that fit on no machine. Stays valid: placements reduce free capacity, and what preemption frees is reserved. */
    private final List<Submission> unplaceable = new ArrayList<>();

    ArrayPlanner(PlanState state, ZoneChooser zoneChooser) {
        this.state = state;
        this.zoneChooser = zoneChooser;
    }

    /** Placement progress of one array. */
    private final class ArrayProgress {
        final JobRecord job;
        final Submission submission;
        final Resources reservedQuota;
        final ZoneRules zones;
        final IntIterator unplaced;
        final int unplacedCount;
        final int maxTasks;
        final Map<Integer, String> places = new LinkedHashMap<>();
        int placed;

        ArrayProgress(JobRecord job) {
            this.job = job;
            this.submission = job.submission();
            this.reservedQuota = state.quota().reserved(submission.team());
            this.zones = zoneChooser.rules(job);
            this.unplacedCount = job.unplacedCount();
            int allocated = job.allocations().size() - state.endedTasks(job);
            this.maxTasks = Math.min(
                    unplacedCount,
                    Math.max(0, state.snapshot().maxAllocatedTasks().applyAsInt(job) - allocated));
            this.unplaced = job.unplaced(maxTasks).iterator();
        }

        int remaining() {
            return state.quota().maxTasks(submission, reservedQuota, maxTasks - placed);
        }
    }

    /**
     * Places arrays of equal rank in two passes, both in the given order: first on machines that have an array's image, then on machines that
     * must fetch it. On a full cluster, free capacity thus goes to an array whose image is present, which reduces the number of fetches.
     */
    void place(List<JobRecord> equalArrays) {
        List<ArrayProgress> arrays =
                equalArrays.stream().map(ArrayProgress::new).toList();
        arrays.forEach(array -> place(array, true));
        arrays.forEach(array -> place(array, false));
        arrays.forEach(this::finish);
    }

    private void place(ArrayProgress array, boolean withImage) {
        int remaining = array.remaining();
        if (remaining == 0 || isKnownUnplaceable(array.submission)) {
            return;
        }
        List<MachineCapacity> candidates = withImage
                ? state.machines().candidatesWithImage(array.submission)
                : state.machines().candidates(array.submission);
        for (MachineCapacity machine : state.withCapacity(array.submission, candidates, array.zones, withImage)) {
            while (remaining > 0
                    && machine.hasCapacity(array.submission.perTask())
                    && array.zones.allows(machine.snapshot())) {
                allocate(array, machine);
                remaining--;
            }
        }
        if (remaining > 0 && !withImage) {
            unplaceable.add(array.submission);
        }
    }

    private void allocate(ArrayProgress array, MachineCapacity machine) {
        int task = array.unplaced.nextInt();
        array.placed++;
        state.allocate(array.submission, machine);
        array.zones.addTask(machine.snapshot().zone());
        if (machine.schedulable()) {
            array.places.put(task, machine.snapshot().id());
        } else {
            state.addWaitReason(array.job, "waits for machines that are booting");
        }
    }

    private void finish(ArrayProgress array) {
        if (!state.snapshot().deferredJobs().contains(array.job.id())) {
            state.bind(array.job, array.places);
        }
        int stillAllowed = array.remaining();
        if (array.placed + stillAllowed < array.unplacedCount) {
            boolean recordFull = array.placed + stillAllowed == array.maxTasks;
            state.replaceWaitReason(
                    array.job,
                    recordFull ? "the job's record can hold no more allocated tasks" : "its team's limit is used up");
        }
        int waiting = state.quota()
                .maxTasks(
                        array.submission,
                        array.reservedQuota.plus(state.quota().unplacedUsage(array.submission.team())),
                        stillAllowed);
        if (waiting > 0) {
            state.quota()
                    .addUnplacedUsage(
                            array.submission.team(), array.submission.perTask().times(waiting));
            state.addWaitReason(array.job, "no free capacity on machines that it may use");
            state.addShortfall(array.job, waiting, array.zones.requiredZone());
        }
    }

    /** Whether no capacity was found for an earlier job with tasks no larger than this job's and at least the same eligible machines. */
    private boolean isKnownUnplaceable(Submission job) {
        return unplaceable.stream()
                .anyMatch(earlier ->
                        isAtLeastAsFlexible(earlier, job) && earlier.perTask().fitsIn(job.perTask()));
    }

    /** Whether the first job may use every machine that the second one may use. */
    private static boolean isAtLeastAsFlexible(Submission one, Submission other) {
        boolean spotAllowed = one.spot() || !other.spot();
        boolean zoneAllowed = one.zone().isEmpty() || one.zone().equals(other.zone());
        boolean typeAllowed = one.types().isEmpty()
                || (other.types().isPresent()
                        && one.types().get().containsAll(other.types().get()));
        return spotAllowed && zoneAllowed && typeAllowed && !one.sameZone() && !one.spread();
    }
}
