package org.dunespindle.scheduling;

import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * A decision to stop a task in order to free its capacity.
 *
 * @param victim the job of the task
 * @param allocation the allocation of the task
 * @param forJob the id of the preempting job; the victim's own id if the task is only moved to another machine
 */
public record Eviction(JobRecord victim, Allocation allocation, String forJob) {}
