package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.protocol.Resources;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** A machine's room while a plan is made. */
final class MachineCapacity {
    private final MachineSnapshot host;
    private Resources free;
    /** Room of tasks that are being stopped. */
    private Resources ending = Resources.NONE;
    /** Promised to a gang before its room is free: nothing can be booked there yet. */
    private boolean promised;
    /** Tasks that may have to give way, the latest booked first: they have least to lose. */
    private final List<Victim> victims = new ArrayList<>(2);

    /** Images of the tasks here; those that the machine has are told apart only when somebody asks. */
    private final List<String> taskImages = new ArrayList<>(2);
    /** Tasks here, as far as they were there when the plan began. */
    private int tasks;
    /** Replicas of services among them, and those that the plan adds. */
    private int replicas;
    /** Whether the plan puts anything else here. */
    private boolean planned;
    /** How well it suits the job that is being planned. */
    private double score;

    /** A task that may have to give way. */
    record Victim(JobRecord job, Allocation allocation) {
        Resources size() {
            return job.submission().perTask();
        }
    }

    MachineCapacity(MachineSnapshot machine) {
        this.host = machine;
        this.free = machine.size();
    }

    MachineSnapshot host() {
        return host;
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

    /** What is free, and what will be once tasks that are being stopped have ended. */
    Resources freeSoon() {
        return free.plus(ending);
    }

    /** Whether tasks can be booked here now. */
    boolean bookable() {
        return host.up() && !promised;
    }

    boolean fits(Resources one) {
        return one.fitsIn(free);
    }

    boolean hasImage(String image) {
        return host.images().contains(image);
    }

    /**
     * Images that tasks here still wait for, as far as is known: fetches of several at the same time share the machine's rate.
     */
    Set<String> fetches() {
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

    /** Whether stopping tasks could make more room than there is. */
    boolean canBeFreed() {
        return !victims.isEmpty() || ending != Resources.NONE;
    }

    /** What is or will be free once lower work has given way to a job. */
    Resources freeFor(JobRecord job) {
        Resources room = freeSoon();
        for (Victim victim : victims) {
            if (PreemptionPlanner.mayEvict(job, victim)) {
                room = room.plus(victim.size());
            }
        }
        return room;
    }

    /** Takes room. */
    void take(Resources one) {
        free = free.minus(one);
    }

    /** Notes that the plan puts or keeps something here. */
    void plan() {
        planned = true;
    }

    /** Notes that the plan puts a replica of a service here. */
    void addReplica() {
        replicas++;
    }

    int replicas() {
        return replicas;
    }

    /** Whether anything is here or planned here. */
    boolean used() {
        return tasks > 0 || planned;
    }

    /** Whether replicas of services are all that is here or planned here. */
    boolean onlyReplicas() {
        return tasks > 0 && tasks == replicas && !planned;
    }

    /** Takes room of a task that is there; where it may give way, it is remembered as a victim. */
    void occupy(JobRecord job, Allocation allocation) {
        Resources one = job.submission().perTask();
        take(one);
        tasks++;
        replicas += job.submission().isService() ? 1 : 0;
        needsImage(job.submission().image());
        if (allocation.stopping() || !job.isOpen() || job.gangPhase() == JobRecord.GangPhase.STOPPING) {
            ending = ending.plus(one);
        } else if (!job.submission().isGang()) {
            victims.add(0, new Victim(job, allocation));
        }
    }

    /** Notes that a task here needs an image. */
    void needsImage(String image) {
        if (taskImages.isEmpty() || !taskImages.get(taskImages.size() - 1).equals(image)) {
            taskImages.add(image);
        }
    }

    /** Promises what is being freed, and what these tasks hold, to a gang. */
    void promise(List<Victim> leaving) {
        promised = true;
        free = freeSoon();
        ending = Resources.NONE;
        for (Victim victim : leaving) {
            victims.remove(victim);
            free = free.plus(victim.size());
        }
    }
}
