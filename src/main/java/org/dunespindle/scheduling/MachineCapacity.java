package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.protocol.Resources;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** A machine's remaining capacity while a plan is made. */
final class MachineCapacity {
    private final MachineSnapshot snapshot;
    private Resources free;
    /** Resources that are still occupied by tasks that are being stopped. */
    private Resources stopping = Resources.NONE;
    /** Whether capacity is reserved for a job that waits for tasks here to stop: until then nothing can be placed on the machine. */
    private boolean reserved;
    /** Tasks that may be preempted, the latest allocated first, because these lose the least work. */
    private final List<Victim> victims = new ArrayList<>(2);

    /** Images of the tasks on the machine, whether fetched or pending; {@link #pendingFetches} finds the pending ones on demand. */
    private final List<String> taskImages = new ArrayList<>(2);
    /** Number of tasks that were allocated when planning began. */
    private int tasks;
    /** Number of service replicas, both allocated and planned. */
    private int replicas;
    /** Whether the plan allocates or reserves capacity on the machine. */
    private boolean planned;
    /** The score of the machine for the job that is being planned; see {@link MachineScore}. */
    private double score;

    /** A task that may be preempted. */
    record Victim(JobRecord job, Allocation allocation) {
        Resources resources() {
            return job.submission().perTask();
        }
    }

    MachineCapacity(MachineSnapshot machine) {
        this.snapshot = machine;
        this.free = machine.capacity();
    }

    MachineSnapshot snapshot() {
        return snapshot;
    }

    Resources free() {
        return free;
    }

    double score() {
        return score;
    }

    void score(double value) {
        score = value;
    }

    /** Free capacity, including what the tasks that are being stopped will release. */
    Resources freeAfterStopping() {
        return free.plus(stopping);
    }

    /** Whether tasks can be placed here now. */
    boolean schedulable() {
        return snapshot.up() && !reserved;
    }

    boolean hasCapacity(Resources perTask) {
        return perTask.fitsIn(free);
    }

    boolean hasImage(String image) {
        return snapshot.images().contains(image);
    }

    /** Images that the machine's tasks need but that are not known to be fetched. Concurrent fetches share the machine's transfer rate. */
    Set<String> pendingFetches() {
        var fetches = new HashSet<String>();
        for (String image : taskImages) {
            if (!hasImage(image)) {
                fetches.add(image);
            }
        }
        return fetches;
    }

    List<Victim> victims() {
        return victims;
    }

    /** Whether the machine has tasks that may be preempted or are being stopped. */
    @SuppressWarnings("ReferenceEquality") // only the constant itself means that no task is stopping
    boolean hasPreemptibleOrStopping() {
        return !victims.isEmpty() || stopping != Resources.NONE;
    }

    /** Capacity that is free once a job has preempted all tasks that it may preempt. */
    Resources freeAfterPreemptionBy(JobRecord job) {
        Resources capacity = freeAfterStopping();
        for (Victim victim : victims) {
            if (PreemptionPlanner.mayPreempt(job, victim)) {
                capacity = capacity.plus(victim.resources());
            }
        }
        return capacity;
    }

    /** Subtracts the resources of a task from the free capacity. */
    void allocate(Resources perTask) {
        free = free.minus(perTask);
    }

    /** Marks the machine as used by the plan. */
    void markPlanned() {
        planned = true;
    }

    /** Counts a service replica that the plan places here. */
    void addReplica() {
        replicas++;
    }

    int replicas() {
        return replicas;
    }

    /** Whether any task is allocated or planned here. */
    boolean isUsed() {
        return tasks > 0 || planned;
    }

    /** Whether only service replicas are allocated here, and nothing else is planned. */
    boolean holdsOnlyReplicas() {
        return tasks > 0 && tasks == replicas && !planned;
    }

    /** Adds a task that is allocated here; it becomes a possible victim unless it is stopping or a gang member. */
    void addAllocated(JobRecord job, Allocation allocation) {
        Resources perTask = job.submission().perTask();
        allocate(perTask);
        tasks++;
        replicas += job.submission().isService() ? 1 : 0;
        addTaskImage(job.submission().image());
        if (allocation.stopping() || !job.isOpen() || job.gangPhase() == JobRecord.GangPhase.STOPPING) {
            stopping = stopping.plus(perTask);
        } else if (!job.submission().isGang()) {
            victims.add(0, new Victim(job, allocation));
        }
    }

    /** Records that a task here needs an image. */
    void addTaskImage(String image) {
        if (taskImages.isEmpty() || !taskImages.get(taskImages.size() - 1).equals(image)) {
            taskImages.add(image);
        }
    }

    /** Reserves the capacity that is being freed and that of the given victims for the preempting job. */
    void reserve(List<Victim> preempted) {
        reserved = true;
        free = freeAfterStopping();
        stopping = Resources.NONE;
        for (Victim victim : preempted) {
            victims.remove(victim);
            free = free.plus(victim.resources());
        }
    }
}
