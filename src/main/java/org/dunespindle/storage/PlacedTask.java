package org.dunespindle.storage;

/** An allocation with its job. */
public record PlacedTask(JobRecord job, Allocation allocation) {}
