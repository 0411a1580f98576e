package org.dunespindle.scheduling;

import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * A task that is to be stopped so that its capacity becomes free.
 *
 * @param victim the job of the task
 * @param allocation where the task runs
 * @param forJob the id of the job that preempts it; the victim's own id if the task is only moved
 */
public record Eviction(JobRecord victim, Allocation allocation, String forJob) {}
