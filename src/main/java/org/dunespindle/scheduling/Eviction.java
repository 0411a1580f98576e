package org.dunespindle.scheduling;

import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** A task that should give way to a job. */
public record Eviction(JobRecord victim, Allocation allocation, String forJob) {}
