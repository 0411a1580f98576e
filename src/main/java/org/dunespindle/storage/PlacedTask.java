package org.dunespindle.storage;

/** An allocation together with its job. */
public record PlacedTask(JobRecord job, Allocation allocation) {}
