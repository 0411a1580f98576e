package org.dunespindle.storage;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.BitSet;

/** Determines which tasks of a job's record still need a machine. */
final class UnplacedTasks {
    private UnplacedTasks() {}

    /** The first {@code maxCount} indices to place, in start order. */
    static IntArrayList first(JobRecord job, int maxCount) {
        if (!isPlaceable(job)) {
            return new IntArrayList();
        }
        return job.submission().isGang() ? firstOfGang(job, maxCount) : firstOfArray(job, maxCount);
    }

    private static IntArrayList firstOfGang(JobRecord job, int maxCount) {
        var placed = new BitSet();
        job.allocations().forEach(allocation -> placed.set(allocation.task()));
        var indices = new IntArrayList();
        int index = placed.nextClearBit(0);
        while (index < job.submission().tasks() && indices.size() < maxCount) {
            indices.add(index);
            index = placed.nextClearBit(index + 1);
        }
        return indices;
    }

    private static IntArrayList firstOfArray(JobRecord job, int maxCount) {
        var indices = new IntArrayList();
        for (int requeued : job.requeued()) {
            if (indices.size() < maxCount) {
                indices.add(requeued);
            }
        }
        for (int i = job.nextTaskIndex(); i < job.submission().tasks() && indices.size() < maxCount; i++) {
            indices.add(i);
        }
        return indices;
    }

    /** The number of tasks that still need a machine. */
    static int count(JobRecord job) {
        if (!isPlaceable(job)) {
            return 0;
        }
        int tasks = job.submission().tasks();
        return job.submission().isGang()
                ? tasks - job.allocations().size()
                : job.requeued().size() + tasks - job.nextTaskIndex();
    }

    private static boolean isPlaceable(JobRecord job) {
        if (!job.isOpen() || job.isDelegatedAway()) {
            return false;
        }
        return !job.submission().isGang()
                || job.gangPhase() == JobRecord.GangPhase.QUEUED
                || job.gangPhase() == JobRecord.GangPhase.PLACEHOLDERS;
    }
}
