package org.dunespindle.storage;

/** An allocation and the job that it belongs to. */
public record PlacedTask(JobRecord job, Allocation allocation) {}
