package org.dunespindle.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Transitions of a job's record: placement, stop, release, completion and cancellation. */
final class JobRecordTransitions {
    private JobRecordTransitions() {}

    /** Places tasks on machines. */
    static JobRecord place(JobRecord job, Map<Integer, String> machineIds) {
        var allocations = new ArrayList<>(job.allocations());
        machineIds.forEach(
                (task, machineId) -> allocations.add(new Allocation(task, machineId, job.attemptCounter(), false)));
        JobRecordBuilder after = job.copy().allocations(allocations).notBefore(Optional.empty());
        return job.submission().isGang()
                ? afterGangPlacement(job, after)
                : afterArrayPlacement(job, after, machineIds.keySet());
    }

    private static JobRecord afterGangPlacement(JobRecord job, JobRecordBuilder after) {
        boolean queued = job.gangPhase() == JobRecord.GangPhase.QUEUED;
        return after.attemptCounter(job.attemptCounter() + job.submission().tasks())
                .gangPhase(queued ? JobRecord.GangPhase.PLACEHOLDERS : job.gangPhase())
                .build();
    }

    private static JobRecord afterArrayPlacement(JobRecord job, JobRecordBuilder after, Set<Integer> placed) {
        int nextTaskIndex = job.nextTaskIndex();
        var requeued = new ArrayList<>(job.requeued());
        for (Integer task : placed) {
            requeued.remove(task);
            nextTaskIndex = Math.max(nextTaskIndex, task + 1);
        }
        // Skipped indices below the new nextTaskIndex must be requeued, or they would count as done.
        for (int i = job.nextTaskIndex(); i < nextTaskIndex; i++) {
            if (!placed.contains(i)) {
                requeued.add(i);
            }
        }
        return after.attemptCounter(job.attemptCounter() + 1)
                .nextTaskIndex(nextTaskIndex)
                .requeued(requeued)
                .build();
    }

    /** Replaces a gang's placeholders by its real tasks. */
    static JobRecord runGang(JobRecord job) {
        return job.copy()
                .attemptCounter(job.attemptCounter() + 1)
                .gangPhase(JobRecord.GangPhase.RUNNING)
                .gangAttempt(job.attemptCounter())
                .build();
    }

    /** Places a gang's placeholder on its machine again under a new attempt. */
    static JobRecord replacePlaceholder(JobRecord job, int task) {
        UnaryOperator<Allocation> renewed =
                allocation -> new Allocation(task, allocation.machineId(), job.attemptCounter(), allocation.stopping());
        return job.copy()
                .attemptCounter(job.attemptCounter() + job.submission().tasks())
                .allocations(replaceAllocation(job, task, renewed))
                .build();
    }

    /** Starts to stop all tasks of a gang. Real tasks keep their common attempt until they are released. */
    static JobRecord stopGang(JobRecord job) {
        boolean realTasks =
                job.gangPhase() == JobRecord.GangPhase.RUNNING || job.gangPhase() == JobRecord.GangPhase.STOPPING;
        return job.copy()
                .gangPhase(JobRecord.GangPhase.STOPPING)
                .gangAttempt(realTasks ? job.gangAttempt() : 0)
                .build();
    }

    /** Marks the allocation of one task as stopping. */
    static JobRecord stopTask(JobRecord job, int task) {
        return job.copy()
                .allocations(replaceAllocation(job, task, Allocation::stopped))
                .build();
    }

    private static List<Allocation> replaceAllocation(JobRecord job, int task, UnaryOperator<Allocation> replacement) {
        var allocations = new ArrayList<Allocation>(job.allocations().size());
        for (Allocation allocation : job.allocations()) {
            allocations.add(allocation.task() == task ? replacement.apply(allocation) : allocation);
        }
        return allocations;
    }

    /** Releases the allocations of ended tasks. */
    static JobRecord release(JobRecord job, Map<Integer, Boolean> doneByTask) {
        var allocations = new ArrayList<Allocation>(job.allocations().size());
        for (Allocation allocation : job.allocations()) {
            if (!doneByTask.containsKey(allocation.task())) {
                allocations.add(allocation);
            }
        }
        JobRecordBuilder after = job.copy().allocations(allocations);
        if (job.spec().isPresent() && !job.submission().isGang()) {
            return afterArrayRelease(job, after, doneByTask, allocations.isEmpty());
        }
        if (allocations.isEmpty() || job.gangPhase() == JobRecord.GangPhase.QUEUED) {
            after.gangPhase(JobRecord.GangPhase.QUEUED).gangAttempt(0);
        }
        return compact(after.build());
    }

    private static JobRecord afterArrayRelease(
            JobRecord job, JobRecordBuilder after, Map<Integer, Boolean> doneByTask, boolean allReleased) {
        var requeued = new ArrayList<>(job.requeued());
        doneByTask.forEach((task, done) -> {
            if (!done || job.submission().isService()) {
                requeued.add(task); // replicas are always restarted: a service ends only by cancellation
            }
        });
        boolean allPlaced = job.nextTaskIndex() == job.submission().tasks() && requeued.isEmpty();
        boolean allDone = job.isOpen() && allPlaced && allReleased;
        return compact(after.requeued(requeued)
                .outcome(allDone ? JobRecord.Outcome.DONE : job.outcome())
                .build());
    }

    /** Completes a job, all of whose tasks are done. */
    static JobRecord complete(JobRecord job) {
        return compact(job.copy()
                .outcome(JobRecord.Outcome.DONE)
                .allocations(List.of())
                .gangPhase(JobRecord.GangPhase.QUEUED)
                .gangAttempt(0)
                .build());
    }

    /** Cancels a job and drops its requeued tasks. Its allocations remain until they are released. */
    static JobRecord cancel(JobRecord job) {
        return compact(job.copy()
                .outcome(JobRecord.Outcome.CANCELLED)
                .requeued(List.of())
                .build());
    }

    /** Reduces the record of a finished job without allocations to its outcome, completed tasks and inbound delegation. */
    private static JobRecord compact(JobRecord job) {
        if (job.isOpen() || !job.allocations().isEmpty()) {
            return job;
        }
        int tasksDone = job.nextTaskIndex();
        if (job.spec().isPresent()) {
            tasksDone =
                    job.outcome() == JobRecord.Outcome.DONE ? job.submission().tasks() : 0;
        }
        Optional<DelegationLink> link = job.delegationLink().filter(InboundDelegation.class::isInstance);
        return JobRecord.finished(job.id(), job.arrived(), job.outcome(), tasksDone, link);
    }
}
