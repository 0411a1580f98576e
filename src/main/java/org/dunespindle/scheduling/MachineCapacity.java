package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.protocol.Resources;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** A machine's capacity while a plan is made. */
final class MachineCapacity {
    private final MachineSnapshot snapshot;
    private Resources free;
    /** What tasks that are being stopped still occupy. */
    private Resources stopping = Resources.NONE;
    /** Whether the machine is reserved for a gang whose capacity is not free yet: nothing can be placed on it now. */
    private boolean reserved;
    /** Tasks that may be preempted, the latest allocated first: they have the least work to lose. */
    private final List<Victim> victims = new ArrayList<>(2);

    /** Images of the tasks on the machine, both fetched and pending ones; they are told apart on demand only. */
    private final List<String> taskImages = new ArrayList<>(2);
    /** Number of tasks that were allocated when the plan began. */
    private int tasks;
    /** Number of service replicas, both allocated and planned. */
    private int replicas;
    /** Whether the plan uses the machine. */
    private boolean planned;
    /** How well the machine suits the job that is being planned. */
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

    /** What is free now or as soon as the tasks that are being stopped have ended. */
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

    /** Images that tasks here still wait for, as far as is known. Concurrent fetches share the machine's rate. */
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
    @SuppressWarnings("ReferenceEquality") // the constant stands for "none is stopping", also where tasks need nothing
    boolean hasPreemptibleOrStopping() {
        return !victims.isEmpty() || stopping != Resources.NONE;
    }

    /** What is free once a job has preempted all tasks that it may. */
    Resources freeAfterPreemptionBy(JobRecord job) {
        Resources capacity = freeAfterStopping();
        for (Victim victim : victims) {
            if (PreemptionPlanner.mayPreempt(job, victim)) {
                capacity = capacity.plus(victim.resources());
            }
        }
        return capacity;
    }

    /** Allocates capacity. */
    void allocate(Resources perTask) {
        free = free.minus(perTask);
    }

    /** Notes that the plan allocates or reserves capacity here. */
    void markPlanned() {
        planned = true;
    }

    /** Notes that the plan places a service replica here. */
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

    /** Whether service replicas are all that is allocated here, and nothing is planned. */
    boolean holdsOnlyReplicas() {
        return tasks > 0 && tasks == replicas && !planned;
    }

    /** Adds a task that is allocated here, as a victim if it may be preempted. */
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

    /** Notes that a task here needs an image. */
    void addTaskImage(String image) {
        if (taskImages.isEmpty() || !taskImages.get(taskImages.size() - 1).equals(image)) {
            taskImages.add(image);
        }
    }

    /** Reserves for a gang what is being freed and what these victims occupy. */
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
