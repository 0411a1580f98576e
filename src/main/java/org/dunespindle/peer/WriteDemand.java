package org.dunespindle.peer;

/** What this controller needs of the write rate. */
public record WriteDemand(double writes, int waiting) {}
